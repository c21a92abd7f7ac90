package sourcecheck

import (
	"fmt"
	"go/ast"
	"path"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// purePackages contain decision logic without I/O, goroutines, clocks or global randomness, so that
// a test harness can drive them with its own time, randomness and transport.
var purePackages = []string{
	"internal/admission", "internal/retry", "internal/routing", "internal/idempotency", "internal/quarantine",
	"internal/membership", "internal/lease", "internal/policy", "internal/node", "internal/control", "internal/fleet", "internal/routes", "internal/quota",
	"internal/overview", "internal/zoneshare", "internal/share", "internal/room", "internal/handback", "internal/speed",
}

// forbiddenImports are packages that pure packages must not import. The same holds for the packages
// below them, such as net/http below net. math/rand/v2 is allowed: its functions that draw from the
// global source are in forbiddenSelectors.
var forbiddenImports = []string{"net", "os", "syscall", "math/rand"}

// forbiddenSelectors are functions, by import path, that read the clock, wait, or draw from the
// global random source.
var forbiddenSelectors = map[string][]string{
	"time": {"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"},
	"math/rand/v2": {"Int", "IntN", "Int32", "Int32N", "Int64", "Int64N", "Uint32", "Uint32N", "Uint64", "Uint64N", "Uint", "UintN",
		"N", "Float32", "Float64", "ExpFloat64", "NormFloat64", "Perm", "Shuffle"},
}

// allowedImports maps exceptions, as "folder: import path", to their reasons.
var allowedImports = map[string]string{
	// Responses use the type http.Header and the status codes. These open no connections, and a
	// separate header type would have to be copied at every hop.
	"internal/node: net/http": "http.Header on calls and responses",
	// netip parses addresses and opens no connections.
	"internal/fleet: net/netip": "addresses of records and reports",
}

// purityViolations returns a message for each forbidden import, goroutine and function in s.
func purityViolations(s *source) []string {
	var violations []string
	importNames := map[string]string{} // local name to import path
	for _, spec := range s.file.Imports {
		imported, _ := strconv.Unquote(spec.Path.Value)
		name := path.Base(imported)
		if strings.HasPrefix(name, "v") && len(name) == 2 {
			name = path.Base(path.Dir(imported))
		}
		if spec.Name != nil {
			name = spec.Name.Name
		}
		importNames[name] = imported
		forbidden := slices.ContainsFunc(forbiddenImports, func(p string) bool {
			return imported == p || strings.HasPrefix(imported, p+"/") && imported != "math/rand/v2"
		})
		if _, allowed := allowedImports[path.Dir(s.path)+": "+imported]; forbidden && !allowed {
			violations = append(violations, fmt.Sprintf("%s:%d imports %s", s.path, s.line(spec.Pos()), imported))
		}
	}
	ast.Inspect(s.file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			violations = append(violations, fmt.Sprintf("%s:%d starts a goroutine", s.path, s.line(n.Pos())))
		case *ast.SelectorExpr:
			x, ok := n.X.(*ast.Ident)
			if ok && x.Obj == nil && slices.Contains(forbiddenSelectors[importNames[x.Name]], n.Sel.Name) {
				violations = append(violations, fmt.Sprintf("%s:%d uses %s.%s", s.path, s.line(n.Pos()), x.Name, n.Sel.Name))
			}
		}
		return true
	})
	return violations
}

// Guards against decision logic that depends on I/O, real time, goroutines or global randomness: its
// tests would no longer be reproducible.
func TestPurePackages(t *testing.T) {
	seen := map[string]bool{}
	for _, s := range sources(t) {
		dir := path.Dir(s.path)
		if !slices.Contains(purePackages, dir) || strings.HasSuffix(s.path, "_test.go") {
			continue
		}
		seen[dir] = true
		must.SliceEmpty(t, purityViolations(s))
	}
	must.Len(t, len(purePackages), mapKeys(seen))
}

func mapKeys(m map[string]bool) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	return keys
}

// Guards against a check that passes because it does not detect one of the forbidden constructs.
func TestPurityCheckReportsViolations(t *testing.T) {
	for _, impure := range []string{
		`import "net"`, `import "net/http"`, `import "os"`, `import "os/signal"`, `import "math/rand"`,
		`import "time"; var _ = time.Now()`, `import "time"; var _ = time.Since`, `import clock "time"; func f() { clock.Sleep(1) }`,
		`import "time"; var _ = time.NewTicker(1)`, `import "time"; var _ = time.After(1)`, `import "time"; var _ = time.NewTimer(1)`,
		`import "math/rand/v2"; var _ = rand.IntN(3)`, `func f() { go f() }`,
	} {
		must.Len(t, 1, purityViolations(parse(t, "internal/retry/x.go", "package x; "+impure)), must.Sprint(impure))
	}
	pure := `package x; import ("math/rand/v2"; "time"); func f(now time.Time, r *rand.Rand) int { return r.IntN(now.Minute()) }`
	must.SliceEmpty(t, purityViolations(parse(t, "internal/retry/x.go", pure)))
}
