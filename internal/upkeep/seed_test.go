package upkeep

import (
	"go/ast"
	"path"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// A package whose property tests draw another seed each run gives one verdict
// today and another tomorrow.
func TestSeedsAreFixed(t *testing.T) {
	fixed := map[string]bool{}
	var users []string
	for _, s := range sources(t) {
		dir := path.Dir(s.path)
		if slices.ContainsFunc(s.file.Imports, func(i *ast.ImportSpec) bool { return i.Path.Value == `"pgregory.net/rapid"` }) {
			users = append(users, dir)
		}
		fixed[dir] = fixed[dir] || setsSeed(s.file)
	}
	must.Greater(t, 5, len(users))
	for _, dir := range users {
		must.True(t, fixed[dir], must.Sprintf("%s uses rapid and sets no rapid.seed", dir))
	}
}

func setsSeed(file *ast.File) bool {
	found := false
	ast.Inspect(file, func(n ast.Node) bool {
		lit, ok := n.(*ast.BasicLit)
		found = found || ok && strings.Contains(lit.Value, "rapid.seed") || fixesSeed(n)
		return !found
	})
	return found
}

// fixesSeed reports whether a node calls testseed.Fix.
func fixesSeed(n ast.Node) bool {
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

func TestSeedsCheckCanFail(t *testing.T) {
	must.False(t, setsSeed(parse(t, "x_test.go", "package x // rapid.seed").file))
	must.False(t, setsSeed(parse(t, "x_test.go", `package x; import "testseed"; func init() { other.Fix() }`).file))
	must.True(t, setsSeed(parse(t, "x_test.go", `package x; import "testseed"; func init() { testseed.Fix() }`).file))
	must.True(t, setsSeed(parse(t, "x_test.go", `package x; import "flag"; func init() { flag.Set("rapid.seed", "1") }`).file))
}
