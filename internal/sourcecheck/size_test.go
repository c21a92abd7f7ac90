package sourcecheck

import (
	"fmt"
	"go/ast"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	maxFileLines     = 500
	maxFunctionLines = 60
)

// allowedSizes maps exceptions, as "file function" or "file", to their reasons. An entry that is no
// longer needed fails the test, so that the list stays short.
var allowedSizes = map[string]string{
	"internal/policy/validate_test.go TestErrorsNameFieldValueAndBound": "one table of cases, a line or two each",
}

// sizeViolations returns the file and the functions in s that are too long. The names contain no
// line numbers, so that an exception stays valid when the file is edited.
func sizeViolations(s *source) []string {
	var violations []string
	if s.line(s.file.FileEnd) > maxFileLines {
		violations = append(violations, s.path)
	}
	for _, decl := range s.file.Decls {
		f, ok := decl.(*ast.FuncDecl)
		if ok && s.line(f.End())-s.line(f.Pos())+1 > maxFunctionLines {
			violations = append(violations, s.path+" "+f.Name.Name)
		}
	}
	return violations
}

// Guards against files and functions that exceed the bounds above.
func TestSizes(t *testing.T) {
	var found []string
	for _, s := range sources(t) {
		found = append(found, sizeViolations(s)...)
	}
	var tooLong []string
	for _, f := range found {
		if _, allowed := allowedSizes[f]; !allowed {
			tooLong = append(tooLong, f)
		}
	}
	must.SliceEmpty(t, tooLong, must.Sprintf("longer than %d lines per file or %d per function: %q", maxFileLines, maxFunctionLines, tooLong))
	for name := range allowedSizes {
		must.True(t, slices.Contains(found, name), must.Sprintf("%s is within the bounds; remove its exception", name))
	}
}

// Guards against a check that misses a function or a file that is one line too long.
func TestSizeCheckReportsViolations(t *testing.T) {
	sourceOfLines := func(lines int) string {
		return fmt.Sprintf("package x\nfunc f() {\n%s}\n", strings.Repeat("_ = 1\n", lines-2))
	}
	must.SliceEmpty(t, sizeViolations(parse(t, "x.go", sourceOfLines(maxFunctionLines))))
	must.Eq(t, []string{"x.go f"}, sizeViolations(parse(t, "x.go", sourceOfLines(maxFunctionLines+1))))
	must.Eq(t, []string{"x.go"}, sizeViolations(parse(t, "x.go", "package x\n"+strings.Repeat("// x\n", maxFileLines))))
}
