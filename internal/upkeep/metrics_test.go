package upkeep

import (
	"go/ast"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// An operator watches a figure that stays 0 whatever happens, since no code
// ever sets it. Every metric that has a name must be used outside its package.
func TestEveryMetricIsSet(t *testing.T) {
	used := map[string]bool{}
	var named []string
	for _, s := range sources(t) {
		switch {
		case s.path == "internal/metrics/names.go":
			named = metricNames(s.file)
		case strings.HasSuffix(s.path, "_test.go"):
		default:
			collectMetrics(s.file, used)
		}
	}
	must.Greater(t, 40, len(named))
	for _, name := range named {
		must.True(t, used[name], must.Sprintf("metrics.%s is never set", name))
	}
}

// metricNames returns the keys of the tables of names.
func metricNames(file *ast.File) []string {
	var names []string
	ast.Inspect(file, func(n ast.Node) bool {
		pair, ok := n.(*ast.KeyValueExpr)
		if !ok {
			return true
		}
		if key, ok := pair.Key.(*ast.Ident); ok {
			names = append(names, key.Name)
		}
		return true
	})
	return names
}

func collectMetrics(file *ast.File, used map[string]bool) {
	ast.Inspect(file, func(n ast.Node) bool {
		sel, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if pkg, ok := sel.X.(*ast.Ident); ok && pkg.Name == "metrics" {
			used[sel.Sel.Name] = true
		}
		return true
	})
}
