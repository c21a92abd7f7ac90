package result

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a code of class 2xxx or 4xxx that does not guarantee `ran: no`. Callers send
// such a request again, and it would run twice.
func TestCodeClassMatchesRan(t *testing.T) {
	for _, c := range Codes() {
		switch int(c) / 1000 {
		case 2, 4:
			must.Eq(t, RanNo, c.Ran(), must.Sprintf("code %d", c))
		case 3:
			must.Eq(t, RanUnknown, c.Ran(), must.Sprintf("code %d", c))
		}
	}
	must.Eq(t, RanUnknown, Code(9999).Ran())
}

// Guards against callers that retry too early because Retry-After was rounded down to whole
// seconds.
func TestWriteRoundsRetryAfterUp(t *testing.T) {
	w := httptest.NewRecorder()
	Refuse(Shed, "limit %d", 5).WithRetryAfter(1200*time.Millisecond).Write(w, "r1")
	must.Eq(t, "2", w.Header().Get("Retry-After"))
	must.Eq(t, "2001", w.Header().Get(HeaderResult))
	must.Eq(t, 503, w.Code)
}
