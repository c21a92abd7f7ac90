package upstream

import (
	"net/http"
	"strconv"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

// Notice is what an upstream says about itself in its responses. The zero value says nothing.
type Notice struct {
	// RateLimit is the number of requests per second that the upstream accepts; 0 names none.
	RateLimit float64
	// Leaving says that the upstream is leaving.
	Leaving bool
}

// Say sets what the upstream says about itself in the responses to requests that arrive from now on.
func (s *Server) Say(n Notice) { s.notice.Store(&n) }

// Arrivals returns the number of requests that reached the upstream.
func (s *Server) Arrivals() int64 { return s.arrivals.Load() }

func (s *Server) addNotice(h http.Header) {
	n := s.notice.Load()
	if n == nil {
		return
	}
	if n.RateLimit > 0 {
		h.Set(callctx.HeaderRateLimit, strconv.FormatFloat(n.RateLimit, 'f', -1, 64))
	}
	if n.Leaving {
		h.Set(callctx.HeaderLeaving, "true")
	}
}
