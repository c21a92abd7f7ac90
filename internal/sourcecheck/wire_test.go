package sourcecheck

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// wireNames matches names of the operators' platform that only the adapter in platform may use.
var wireNames = regexp.MustCompile(`X-(Request-Id|Timeout-Ms|Server-Stamp|Not-Executed|Expected-Instance|Caller-Service|Instance-Id)|Server-(Limit|Leaving)|` +
	`heartbeat_addr|traffic_split|route_type|path_prefix"|cold_remaining|log-(append|read|newest|join|commit)|keyed\.op`)

// Guards against code outside the adapter that depends on the platform's wire names: a change of the
// platform would then affect more than the adapter.
func TestPlatformNamesStayInTheAdapter(t *testing.T) {
	for _, s := range sources(t) {
		if strings.HasPrefix(s.path, "platform/") || s.path == "internal/sourcecheck/wire_test.go" {
			continue
		}
		text, err := os.ReadFile(filepath.Join(root, s.path))
		must.NoError(t, err)
		must.Eq(t, "", wireNames.FindString(string(text)), must.Sprint(s.path))
	}
}

// maxAdapterLines bounds the adapter, which only translates between the mesh and the platform and
// makes no decisions.
const maxAdapterLines = 1500

// Guards against decision logic that moves into the adapter.
func TestAdapterStaysSmall(t *testing.T) {
	lines := 0
	for _, s := range sources(t) {
		if strings.HasPrefix(s.path, "platform/") && !strings.HasSuffix(s.path, "_test.go") {
			text, err := os.ReadFile(filepath.Join(root, s.path))
			must.NoError(t, err)
			lines += strings.Count(string(text), "\n")
		}
	}
	must.Between(t, 200, lines, maxAdapterLines)
}
