package callctx

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
)

// Headers of requests and responses that callers and upstreams use.
const (
	HeaderWorkspace = "Galena-Workspace"
	HeaderService   = "Galena-Service"
	HeaderPriority  = "Galena-Priority"
	// HeaderTimeout carries the caller's timeout as a Go duration or as a number of milliseconds.
	HeaderTimeout = "Galena-Timeout"
	HeaderCaller  = "Galena-Caller"
	// HeaderIssuedAt carries the time at which the caller created its idempotency key (RFC 3339).
	HeaderIssuedAt = "Galena-Issued-At"
	// HeaderIdempotent with the value "true" declares that a call is safe to run twice.
	HeaderIdempotent = "Galena-Idempotent"
	// HeaderContext is opaque to upstreams: they copy it from the request they
	// run to the calls they make for it.
	HeaderContext = "Galena-Context"
	// HeaderRequestID carries the ID of the root request in responses.
	HeaderRequestID = "Galena-Request-Id"
	HeaderKey       = "Idempotency-Key"
	// HeaderRateLimit on an upstream's response is the number of calls per second, a decimal number, that
	// it accepts from all nodes together. It holds until a response lacks it.
	HeaderRateLimit = "Galena-Rate-Limit"
	// HeaderLeaving on an upstream's response is "true" if the upstream is leaving.
	HeaderLeaving = "Galena-Leaving"
	HeaderTrace   = "Traceparent"
	headerPrefix  = "Galena-"
)

// Limits on what a caller may send. Lengths are in bytes.
const (
	// MaxNameLen bounds the length of a workspace, service or parent call name.
	MaxNameLen = 64
	// MaxRequestIDLen bounds the length of a request ID. Upstreams derive the IDs of the calls that
	// they make for a request by appending 17 bytes at each step of the call chain, and chains are
	// 10 calls deep.
	MaxRequestIDLen = 256
	// MaxKeyLen bounds the length of an idempotency key or caller name.
	MaxKeyLen = 200
	// MaxTraceLen bounds the length of a Traceparent header.
	MaxTraceLen = 128
	// MaxTimeout bounds the timeout that a caller may request. The template's bound applies as
	// well.
	MaxTimeout = 10 * time.Minute
)

// Raw holds the decoded and validated headers of a caller, before the values of a template are
// applied.
type Raw struct {
	Workspace, Service string
	// Level is LevelLow when the header names an unknown level.
	Level Level
	// HasLevel reports whether the caller sent a level.
	HasLevel bool
	// Timeout is 0 when the caller sent none.
	Timeout    time.Duration
	Caller     string
	Key        string
	KeyIssued  time.Time
	Idempotent bool
	// Parent is the value of HeaderContext; empty for a root request.
	Parent      string
	TraceParent string
}

// Decode parses the headers of a caller. An invalid header returns a refusal with
// result.BadContext whose detail names the header and its limit.
func Decode(h http.Header) (Raw, *result.Refusal) {
	for _, name := range []string{HeaderIdempotent, HeaderPriority, HeaderTimeout, HeaderIssuedAt} {
		if _, refusal := singleValue(h, name); refusal != nil {
			return Raw{}, refusal
		}
	}
	raw := Raw{Idempotent: h.Get(HeaderIdempotent) == "true"}
	fields := []struct {
		header string
		into   *string
		check  func(string) bool
		bound  int
	}{
		{HeaderWorkspace, &raw.Workspace, isName, MaxNameLen},
		{HeaderService, &raw.Service, isName, MaxNameLen},
		{HeaderCaller, &raw.Caller, isPrintable, MaxKeyLen},
		{HeaderKey, &raw.Key, isPrintable, MaxKeyLen},
		{HeaderContext, &raw.Parent, isName, MaxNameLen},
		{HeaderTrace, &raw.TraceParent, isPrintable, MaxTraceLen},
	}
	for _, f := range fields {
		v, refusal := singleValue(h, f.header)
		if refusal != nil {
			return Raw{}, refusal
		}
		if len(v) > f.bound {
			return Raw{}, result.Refuse(result.BadContext, "header %s has %d bytes, bound %d", f.header, len(v), f.bound)
		}
		if v != "" && !f.check(v) {
			return Raw{}, result.Refuse(result.BadContext, "header %s contains characters that are not allowed", f.header)
		}
		*f.into = v
	}
	if v := h.Get(HeaderPriority); v != "" {
		raw.HasLevel = true
		raw.Level = ParseLevel(v)
	}
	if refusal := raw.decodeTimes(h); refusal != nil {
		return Raw{}, refusal
	}
	return raw, nil
}

func (r *Raw) decodeTimes(h http.Header) *result.Refusal {
	if v := h.Get(HeaderTimeout); v != "" {
		d, ok := parseTimeout(v)
		if !ok {
			return result.Refuse(result.BadContext, "header %s must be a duration such as 800ms, greater than 0 and at most %s", HeaderTimeout, MaxTimeout)
		}
		r.Timeout = d
	}
	if v := h.Get(HeaderIssuedAt); v != "" {
		at, err := time.Parse(time.RFC3339Nano, v)
		if err != nil {
			return result.Refuse(result.BadContext, "header %s must be an RFC 3339 time", HeaderIssuedAt)
		}
		r.KeyIssued = at
	}
	return nil
}

// parseTimeout accepts a Go duration or a whole number of milliseconds.
func parseTimeout(v string) (time.Duration, bool) {
	d, err := time.ParseDuration(v)
	if err != nil {
		ms, err := strconv.ParseInt(v, 10, 32)
		if err != nil {
			return 0, false
		}
		d = time.Duration(ms) * time.Millisecond
	}
	return d, d > 0 && d <= MaxTimeout
}

// singleValue returns the value of the header, or "" when it is absent. A header sent more than
// once is refused: two components could read different values, which would allow a key or
// workspace check to be bypassed.
func singleValue(h http.Header, name string) (string, *result.Refusal) {
	values := h[name]
	switch len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	}
	return "", result.Refuse(result.BadContext, "header %s was sent %d times", name, len(values))
}

// ValidName reports whether s is a valid name of a workspace or service in a header.
func ValidName(s string) bool { return s != "" && len(s) <= MaxNameLen && isName(s) }

// ValidRequestID reports whether s is a valid request ID.
func ValidRequestID(s string) bool { return s != "" && len(s) <= MaxRequestIDLen && isName(s) }

func isName(s string) bool {
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}

func isPrintable(s string) bool {
	for i := range len(s) {
		if s[i] < 0x20 || s[i] > 0x7e {
			return false
		}
	}
	return true
}

// hopByHop lists the headers that apply to a single connection (RFC 9110, 7.6.1).
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// Forwardable returns a copy of h with the headers that are sent on to the next hop. It omits
// hop-by-hop headers and the headers of this system, which each sender sets itself.
func Forwardable(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if isForwardable(name) {
			out[name] = values
		}
	}
	deleteConnectionOptions(out, h["Connection"])
	return out
}

// KeepForwardable deletes the headers that Forwardable omits and returns h.
func KeepForwardable(h http.Header) http.Header {
	options := h["Connection"]
	for name := range h {
		if !isForwardable(name) {
			delete(h, name)
		}
	}
	deleteConnectionOptions(h, options)
	return h
}

func isForwardable(name string) bool {
	return !hopByHop[name] && !strings.HasPrefix(name, headerPrefix) && name != "Content-Length"
}

// deleteConnectionOptions deletes the headers that a Connection header names.
func deleteConnectionOptions(h http.Header, connection []string) {
	for _, options := range connection {
		for name := range strings.SplitSeq(options, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
}
