package logd

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/galenagrade/galenagrade/internal/logstore"
)

// Paths of the admin requests, which the platform's log doesn't have.
// PathKnobs reads (GET) and replaces (PUT) the Knobs as JSON. PathTruncate
// (POST) calls Truncate with the query parameter oldest.
const (
	PathKnobs    = "/admin/knobs"
	PathTruncate = "/admin/truncate"
)

// maxRequestBytes bounds a request body. It allows 1 MiB beyond MaxAppendBytes
// for the JSON around the records.
const maxRequestBytes = logstore.MaxAppendBytes + 1<<20

// Handler returns the HTTP handler of the log and of its admin requests.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+logstore.PathAppend, s.serveAppend)
	mux.HandleFunc("GET "+logstore.PathRead, s.serveRead)
	mux.HandleFunc("GET "+logstore.PathHead, s.serveHead)
	mux.HandleFunc("GET "+PathKnobs, s.serveKnobs)
	mux.HandleFunc("PUT "+PathKnobs, s.serveSetKnobs)
	mux.HandleFunc("POST "+PathTruncate, s.serveTruncate)
	return mux
}

func (s *Server) serveAppend(w http.ResponseWriter, r *http.Request) {
	var req logstore.AppendRequest
	if !decode(w, r, &req) {
		return
	}
	first, err := s.Append(r.Context(), req.Records)
	if errors.Is(err, logstore.ErrUncertain) {
		// Abort the connection, so that the client gets no response to an append
		// that took effect.
		panic(http.ErrAbortHandler)
	}
	reply(w, logstore.AppendResponse{First: first}, err)
}

func (s *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err1 := strconv.ParseInt(q.Get("from"), 10, 64)
	limit, err2 := strconv.Atoi(q.Get("max"))
	wait, err3 := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err := errors.Join(err1, err2, err3); err != nil {
		writeError(w, http.StatusBadRequest, logstore.ErrorResponse{Error: err.Error()})
		return
	}
	page, err := s.Read(r.Context(), from, limit, time.Duration(wait)*time.Millisecond)
	reply(w, page, err)
}

func (s *Server) serveHead(w http.ResponseWriter, r *http.Request) {
	head, err := s.Head(r.Context())
	reply(w, logstore.HeadResponse{Head: head}, err)
}

func (s *Server) serveKnobs(w http.ResponseWriter, _ *http.Request) {
	reply(w, s.Knobs(), nil)
}

func (s *Server) serveSetKnobs(w http.ResponseWriter, r *http.Request) {
	var k Knobs
	if !decode(w, r, &k) {
		return
	}
	s.SetKnobs(k)
	reply(w, k, nil)
}

func (s *Server) serveTruncate(w http.ResponseWriter, r *http.Request) {
	oldest, err := strconv.ParseInt(r.URL.Query().Get("oldest"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, logstore.ErrorResponse{Error: err.Error()})
		return
	}
	s.Truncate(oldest)
	w.WriteHeader(http.StatusNoContent)
}

// decode parses the JSON body of r into target. On failure it responds with 400 and
// returns false.
func decode(w http.ResponseWriter, r *http.Request, target any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(body, target)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, logstore.ErrorResponse{Error: err.Error()})
	}
	return err == nil
}

// reply writes v, or for an error the status and body that the log client maps back to
// err.
func reply(w http.ResponseWriter, v any, err error) {
	var truncated *logstore.TruncatedError
	var overloaded *logstore.OverloadedError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, v)
	case errors.As(err, &truncated):
		writeError(w, http.StatusGone, logstore.ErrorResponse{Error: err.Error(), Oldest: truncated.Oldest})
	case errors.As(err, &overloaded):
		writeError(w, http.StatusTooManyRequests, logstore.ErrorResponse{
			Error:            err.Error(),
			RetryAfterMillis: overloaded.RetryAfter.Milliseconds() + 1,
		})
	case errors.Is(err, logstore.ErrBadRequest):
		writeError(w, http.StatusBadRequest, logstore.ErrorResponse{Error: err.Error()})
	default:
		writeError(w, http.StatusServiceUnavailable, logstore.ErrorResponse{Error: err.Error()})
	}
}

func writeError(w http.ResponseWriter, status int, doc logstore.ErrorResponse) {
	writeJSON(w, status, doc)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
