package sourcecheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// logLine is the level and the field names of one log message, the fields in the order of the code.
type logLine struct {
	level  string
	fields []string
}

// logLines adds to lines the log lines in the files that match pattern, by message. Fields of calls
// with the same message are merged. Test files are left out.
func logLines(t *testing.T, pattern string, lines map[string]logLine) {
	files, err := filepath.Glob(pattern)
	must.NoError(t, err)
	must.SliceNotEmpty(t, files)
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		must.NoError(t, err)
		ast.Inspect(parsed, func(n ast.Node) bool {
			if message, line, ok := parseLogLine(n); ok {
				merged := lines[message]
				for _, f := range line.fields {
					if !slices.Contains(merged.fields, f) {
						merged.fields = append(merged.fields, f)
					}
				}
				merged.level = line.level
				lines[message] = merged
			}
			return true
		})
	}
}

// parseLogLine reads a call chain like logger.Info().Str("member", x).Msg("member changed"). ok is
// false when n is no such chain.
func parseLogLine(n ast.Node) (message string, line logLine, ok bool) {
	call, isCall := n.(*ast.CallExpr)
	for isCall {
		method, isMethod := call.Fun.(*ast.SelectorExpr)
		if !isMethod {
			return message, line, false
		}
		switch name := method.Sel.Name; name {
		case "Msg":
			message = stringArg(call, 0)
			ok = message != ""
		case "Err":
			line.fields = append([]string{"error"}, line.fields...)
		case "Debug", "Info", "Warn", "Error":
			line.level = strings.ToLower(name)
			return message, line, ok
		default:
			if f := stringArg(call, 0); f != "" {
				line.fields = append([]string{f}, line.fields...)
			}
		}
		if !ok {
			return message, line, false
		}
		call, isCall = method.X.(*ast.CallExpr)
	}
	return message, line, false
}

// stringArg returns the string literal that is argument number arg of call, or "" when that argument
// is missing or no string literal.
func stringArg(call *ast.CallExpr, arg int) string {
	if len(call.Args) <= arg {
		return ""
	}
	lit, ok := call.Args[arg].(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return ""
	}
	text, err := strconv.Unquote(lit.Value)
	if err != nil {
		return ""
	}
	return text
}

// logRow matches a row of the page's table: message, level, fields and meaning.
var logRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| (debug|info|warn|error) \\| ((?:`[a-z_]+`(?:, )?)*) \\| [^|]+ \\|$")

// Guards against a page of log lines that differs from the code: a line that the page lacks, one
// that is no longer written, or another level or other fields.
func TestPageOfLogLinesIsTrue(t *testing.T) {
	lines := map[string]logLine{}
	for _, pattern := range []string{
		"../../internal/mesh/*.go", "../../internal/records/*.go", "../../platform/*.go", "../../cmd/galenad/mesh.go", "../../cmd/galenad/reload.go",
	} {
		logLines(t, pattern, lines)
	}
	page, err := os.ReadFile("../../docs/operations/log-lines.md")
	must.NoError(t, err)
	documented := map[string]bool{}
	for _, row := range logRow.FindAllStringSubmatch(string(page), -1) {
		message, level, fields := row[1], row[2], row[3]
		documented[message] = true
		line, ok := lines[message]
		must.True(t, ok, must.Sprintf("no code writes the log line %q", message))
		must.EqOp(t, level, line.level, must.Sprint(message))
		must.EqOp(t, "`"+strings.Join(line.fields, "`, `")+"`", quoteEmptyList(fields), must.Sprint(message))
	}
	for message, line := range lines {
		must.True(t, documented[message], must.Sprintf("| `%s` | %s | `%s` | ? |", message, line.level, strings.Join(line.fields, "`, `")))
	}
}

// Guards against a page that names a field of event lines which the code does not write.
func TestEventFieldsOnPageAreWritten(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/log-lines.md")
	must.NoError(t, err)
	source, err := os.ReadFile("../../internal/mesh/eventlog.go")
	must.NoError(t, err)
	_, events, ok := strings.Cut(string(page), "Their `kind` is")
	must.True(t, ok)
	events, _, ok = strings.Cut(events, "Failed and refused")
	must.True(t, ok)
	names := regexp.MustCompile("`([a-z_]+)`").FindAllStringSubmatch(events, -1)
	must.SliceNotEmpty(t, names)
	for _, name := range names {
		must.StrContains(t, string(source), strconv.Quote(name[1]))
	}
}

// quoteEmptyList returns fields, or two backticks when it is empty. That is the text that joining and
// quoting an empty list gives.
func quoteEmptyList(fields string) string {
	if fields == "" {
		return "``"
	}
	return fields
}
