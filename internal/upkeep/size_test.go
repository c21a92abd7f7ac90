package upkeep

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

// allowedSizes are exceptions, each with its reason. One that is no longer
// needed fails the test, so that the list stays short.
var allowedSizes = map[string]string{
	"internal/policy/validate_test.go TestErrorsNameFieldValueAndBound": "one table of cases, a line or two each",
}

// sizeFaults names what is too long, without its lines, so that an exception
// survives an edit.
func sizeFaults(s *source) []string {
	var faults []string
	if s.line(s.file.FileEnd) > maxFileLines {
		faults = append(faults, s.path)
	}
	for _, decl := range s.file.Decls {
		f, ok := decl.(*ast.FuncDecl)
		if ok && s.line(f.End())-s.line(f.Pos())+1 > maxFunctionLines {
			faults = append(faults, s.path+" "+f.Name.Name)
		}
	}
	return faults
}

func TestSizes(t *testing.T) {
	var found []string
	for _, s := range sources(t) {
		found = append(found, sizeFaults(s)...)
	}
	var tooLong []string
	for _, f := range found {
		if _, allowed := allowedSizes[f]; !allowed {
			tooLong = append(tooLong, f)
		}
	}
	must.SliceEmpty(t, tooLong, must.Sprintf("over %d lines a file or %d a function: %q", maxFileLines, maxFunctionLines, tooLong))
	for name := range allowedSizes {
		must.True(t, slices.Contains(found, name), must.Sprintf("%s needs no exception any more", name))
	}
}

func TestSizesCheckCanFail(t *testing.T) {
	long := func(lines int) string {
		return fmt.Sprintf("package x\nfunc f() {\n%s}\n", strings.Repeat("_ = 1\n", lines-2))
	}
	must.SliceEmpty(t, sizeFaults(parse(t, "x.go", long(maxFunctionLines))))
	must.Eq(t, []string{"x.go f"}, sizeFaults(parse(t, "x.go", long(maxFunctionLines+1))))
	must.Eq(t, []string{"x.go"}, sizeFaults(parse(t, "x.go", "package x\n"+strings.Repeat("// x\n", maxFileLines))))
}
