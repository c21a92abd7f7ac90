package result

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a cause that another node decodes differently, or that operators cannot read.
func TestCauseRoundTrip(t *testing.T) {
	c := &Cause{Code: QueueExpired, Service: "tracker", Node: "vm-12"}
	must.Eq(t, c, DecodeCause(c.Encode()))
	must.EqOp(t, "2003 queue_expired at vm-12 for tracker", c.String())
}

// Guards against a malformed cause being accepted. Nodes of another version, or faulty peers,
// may send one. Only the cause is ignored; the response that carries it is still valid.
func TestDecodeCauseRejectsMalformedText(t *testing.T) {
	for _, text := range []string{"", "2003", "2003 tracker", "x tracker vm-12", "-1 tracker vm-12", "2003  vm-12", "2003 tracker vm-12 more", "2003 tracker " + strings.Repeat("v", maxCauseBytes)} {
		must.Nil(t, DecodeCause(text), must.Sprintf("%q", text))
	}
}

// FuzzDecodeCause decodes arbitrary text. It guards against an accepted cause that changes when it
// is encoded and decoded again, as at the next node.
func FuzzDecodeCause(f *testing.F) {
	f.Add("2003 tracker vm-12")
	f.Fuzz(func(t *testing.T, text string) {
		if c := DecodeCause(text); c != nil {
			must.Eq(t, c, DecodeCause(c.Encode()))
		}
	})
}
