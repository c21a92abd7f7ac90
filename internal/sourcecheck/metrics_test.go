package sourcecheck

import (
	"go/ast"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a metric that is always 0 because no code sets it. Every metric that has a name
// must be used outside its package.
func TestEveryMetricIsSet(t *testing.T) {
	used := map[string]bool{}
	var defined []string
	for _, s := range sources(t) {
		switch {
		case s.path == "internal/metrics/names.go":
			defined = metricNames(s.file)
		case strings.HasSuffix(s.path, "_test.go"):
		default:
			collectMetrics(s.file, used)
		}
	}
	must.Greater(t, 40, len(defined))
	for _, name := range defined {
		must.True(t, used[name], must.Sprintf("metrics.%s is never set", name))
	}
}

// metricNames returns the constants that are keys in the tables of metric names.
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

// collectMetrics adds to used every name that file selects from the package metrics.
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
