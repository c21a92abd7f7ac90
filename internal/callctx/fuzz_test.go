package callctx

import (
	"bufio"
	"net/http"
	"net/textproto"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/result"
)

// FuzzDecode decodes arbitrary header lines. It guards against an accepted value outside its
// limits, a refusal that still returns values, and a hop-by-hop header that is sent on.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		"Galena-Workspace: w\nGalena-Service: s\nGalena-Timeout: 800ms\nIdempotency-Key: k",
		"Galena-Workspace: a\nGalena-Workspace: b",
		"Galena-Timeout: -1s", "Galena-Timeout: 9223372036854775807h", "Galena-Timeout: 1e9", "Galena-Timeout: 2147483647",
		"Galena-Context: ../../etc", "Galena-Service: a b", "Idempotency-Key: \x7f", "Idempotency-Key: é",
		"Galena-Issued-At: 9999-12-31T23:59:59Z", "Galena-Issued-At: yesterday",
		"Galena-Priority: critical\nGalena-Priority: low", "Galena-Idempotent: true\nGalena-Idempotent: false",
		"Connection: Idempotency-Key, Galena-Context\nX-Kept: 1", "Traceparent: " + strings.Repeat("0", 200),
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, lines string) {
		mime, err := textproto.NewReader(bufio.NewReader(strings.NewReader(lines + "\n\n"))).ReadMIMEHeader()
		if err != nil {
			t.Skip("net/http rejects the header")
		}
		h := http.Header(mime)
		raw, refusal := Decode(h)
		if refusal != nil {
			must.EqOp(t, result.BadContext, refusal.Code)
			must.Eq(t, Raw{}, raw)
			return
		}
		checkRaw(t, raw)
		for name := range h {
			must.False(t, strings.HasPrefix(name, headerPrefix) && len(h[name]) > 1 && isDecodedHeader(name), must.Sprint(name))
		}
		for name := range Forwardable(h) {
			must.False(t, hopByHop[name] || strings.HasPrefix(name, headerPrefix), must.Sprint(name))
		}
	})
}

func checkRaw(t *testing.T, raw Raw) {
	for _, name := range []string{raw.Workspace, raw.Service, raw.Parent} {
		must.True(t, len(name) <= MaxNameLen && isName(name))
	}
	for _, text := range []string{raw.Caller, raw.Key, raw.TraceParent} {
		must.True(t, len(text) <= MaxKeyLen && isPrintable(text))
	}
	must.True(t, raw.Timeout >= 0 && raw.Timeout <= MaxTimeout)
	must.True(t, raw.Level < Levels)
}

func isDecodedHeader(name string) bool {
	switch name {
	case HeaderWorkspace, HeaderService, HeaderPriority, HeaderTimeout, HeaderCaller, HeaderIssuedAt, HeaderIdempotent, HeaderContext:
		return true
	}
	return false
}
