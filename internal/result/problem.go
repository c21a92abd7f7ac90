package result

import (
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"
)

const (
	// HeaderResult carries the numeric code in every response to a caller.
	HeaderResult = "Galena-Result"
	// ProblemType is the media type of an RFC 9457 document.
	ProblemType = "application/problem+json"
)

// Problem is the RFC 9457 document sent to a caller with a refusal.
type Problem struct {
	Type             string `json:"type"`
	Title            string `json:"title"`
	Status           int    `json:"status"`
	Detail           string `json:"detail"`
	Code             int    `json:"code"`
	Ran              Ran    `json:"ran"`
	RequestID        string `json:"request_id,omitempty"`
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
}

// Problem returns the problem document of r for the request requestID.
func (r *Refusal) Problem(requestID string) Problem {
	return Problem{
		Type:             "urn:galenagrade:result:" + strconv.Itoa(int(r.Code)),
		Title:            r.Code.String(),
		Status:           r.Code.HTTPStatus(),
		Detail:           r.Detail,
		Code:             int(r.Code),
		Ran:              r.Code.Ran(),
		RequestID:        requestID,
		RetryAfterMillis: r.RetryAfter.Milliseconds(),
	}
}

// Write sends the refusal as the complete response.
func (r *Refusal) Write(w http.ResponseWriter, requestID string) {
	body, err := json.Marshal(r.Problem(requestID))
	if err != nil {
		body = []byte(`{}`)
	}
	h := w.Header()
	h.Set("Content-Type", ProblemType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderResult, strconv.Itoa(int(r.Code)))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(wholeSeconds(r.RetryAfter)))
	}
	w.WriteHeader(r.Code.HTTPStatus())
	_, _ = w.Write(body)
}

// wholeSeconds rounds up, because Retry-After has a resolution of one second and a caller must
// not retry too early.
func wholeSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}

func sortCodes(codes []Code) { slices.Sort(codes) }
