package sourcecheck

import (
	"go/ast"
	"path"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// selectorsOutside returns the names that are used in selectors (x.Name) outside the folder pkg and
// outside test files.
func selectorsOutside(t *testing.T, pkg string) map[string]bool {
	used := map[string]bool{}
	for _, s := range sources(t) {
		if path.Dir(s.path) == pkg || strings.HasSuffix(s.path, "_test.go") {
			continue
		}
		ast.Inspect(s.file, func(n ast.Node) bool {
			if sel, ok := n.(*ast.SelectorExpr); ok {
				used[sel.Sel.Name] = true
			}
			return true
		})
	}
	return used
}

// Guards against a result code that is documented for operators but never occurs. Every code must be
// returned or compared outside its package.
func TestEveryResultCodeIsUsed(t *testing.T) {
	used := selectorsOutside(t, "internal/result")
	codes := 0
	for _, s := range sources(t) {
		if s.path != "internal/result/result.go" {
			continue
		}
		ast.Inspect(s.file, func(n ast.Node) bool {
			spec, ok := n.(*ast.ValueSpec)
			if !ok {
				return true
			}
			if typ, ok := spec.Type.(*ast.Ident); !ok || typ.Name != "Code" {
				return true
			}
			for _, name := range spec.Names {
				codes++
				must.True(t, used[name.Name], must.Sprintf("result.%s is never used", name.Name))
			}
			return true
		})
	}
	must.Greater(t, 20, codes)
}

// Guards against a setting that has no effect because no code reads it. Every field that a settings
// file may contain must be used outside the package settings.
func TestEverySettingIsRead(t *testing.T) {
	used := selectorsOutside(t, "internal/settings")
	fields := 0
	for _, s := range sources(t) {
		if path.Dir(s.path) != "internal/settings" || strings.HasSuffix(s.path, "_test.go") {
			continue
		}
		ast.Inspect(s.file, func(n ast.Node) bool {
			field, ok := n.(*ast.Field)
			if !ok || field.Tag == nil || !strings.Contains(field.Tag.Value, "json:") {
				return true
			}
			for _, name := range field.Names {
				fields++
				must.True(t, used[name.Name], must.Sprintf("settings field %s is never read", name.Name))
			}
			return true
		})
	}
	must.Greater(t, 40, fields)
}
