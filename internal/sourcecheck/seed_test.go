package sourcecheck

import (
	"go/ast"
	"path"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against property tests whose result changes from run to run on the same code: without a
// fixed seed, rapid draws a new one for each run.
func TestSeedsAreFixed(t *testing.T) {
	seeded := map[string]bool{}
	var rapidPackages []string
	for _, s := range sources(t) {
		dir := path.Dir(s.path)
		if slices.ContainsFunc(s.file.Imports, func(i *ast.ImportSpec) bool { return i.Path.Value == `"pgregory.net/rapid"` }) {
			rapidPackages = append(rapidPackages, dir)
		}
		seeded[dir] = seeded[dir] || setsSeed(s.file)
	}
	must.Greater(t, 5, len(rapidPackages))
	for _, dir := range rapidPackages {
		must.True(t, seeded[dir], must.Sprintf("%s uses rapid and sets no rapid.seed", dir))
	}
}

// setsSeed reports whether file sets the flag rapid.seed, directly or through testseed.Fix.
func setsSeed(file *ast.File) bool {
	found := false
	ast.Inspect(file, func(n ast.Node) bool {
		lit, ok := n.(*ast.BasicLit)
		found = found || ok && strings.Contains(lit.Value, "rapid.seed") || callsTestseedFix(n)
		return !found
	})
	return found
}

// callsTestseedFix reports whether a node calls testseed.Fix.
func callsTestseedFix(n ast.Node) bool {
	call, ok := n.(*ast.CallExpr)
	if !ok {
		return false
	}
	f, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || f.Sel.Name != "Fix" {
		return false
	}
	from, ok := f.X.(*ast.Ident)
	return ok && from.Name == "testseed"
}

// Guards against a check that accepts files which mention the seed only in a comment, or call a Fix
// of another package.
func TestSeedCheckReportsMissingSeed(t *testing.T) {
	must.False(t, setsSeed(parse(t, "x_test.go", "package x // rapid.seed").file))
	must.False(t, setsSeed(parse(t, "x_test.go", `package x; import "testseed"; func init() { other.Fix() }`).file))
	must.True(t, setsSeed(parse(t, "x_test.go", `package x; import "testseed"; func init() { testseed.Fix() }`).file))
	must.True(t, setsSeed(parse(t, "x_test.go", `package x; import "flag"; func init() { flag.Set("rapid.seed", "1") }`).file))
}
