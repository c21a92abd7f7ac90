package result

import (
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
)

var docRow = regexp.MustCompile("(?m)^\\| (\\d{4}) \\| `([a-z_]+)` \\| (no|unknown|yes) \\| (\\d{3}) \\| (.+) \\|$")

// Guards against docs/RESULT_CODES.md listing a name, effect, status or description that
// differs from the declared code, or omitting a code.
func TestDocumentedCodesMatchDeclaredCodes(t *testing.T) {
	doc, err := os.ReadFile("../../docs/RESULT_CODES.md")
	must.NoError(t, err)
	documented := map[Code]bool{}
	for _, m := range docRow.FindAllStringSubmatch(string(doc), -1) {
		n, err := strconv.Atoi(m[1])
		must.NoError(t, err)
		c := Code(n)
		must.MapContainsKey(t, codeInfo, c, must.Sprintf("documented code %d isn't declared", n))
		must.False(t, documented[c], must.Sprintf("code %d is documented twice", n))
		documented[c] = true
		must.Eq(t, c.String(), m[2])
		must.Eq(t, string(c.Ran()), m[3], must.Sprintf("ran of code %d", n))
		must.Eq(t, strconv.Itoa(c.HTTPStatus()), m[4], must.Sprintf("status of code %d", n))
		must.Eq(t, c.Help(), m[5])
	}
	for _, c := range Codes() {
		must.True(t, documented[c], must.Sprintf("code %d %s isn't documented", int(c), c))
	}
}
