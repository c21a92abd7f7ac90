package upkeep

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

// logLine is what one message carries, in the order of the code.
type logLine struct {
	level  string
	fields []string
}

// logLines adds the lines that the sources of that pattern can write.
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
			if message, line, ok := lineOf(n); ok {
				known := lines[message]
				for _, f := range line.fields {
					if !slices.Contains(known.fields, f) {
						known.fields = append(known.fields, f)
					}
				}
				known.level = line.level
				lines[message] = known
			}
			return true
		})
	}
}

// lineOf reads a chain like logger.Info().Str("member", x).Msg("member changed").
func lineOf(n ast.Node) (message string, line logLine, ok bool) {
	call, isCall := n.(*ast.CallExpr)
	for isCall {
		method, isMethod := call.Fun.(*ast.SelectorExpr)
		if !isMethod {
			return message, line, false
		}
		switch name := method.Sel.Name; name {
		case "Msg":
			message = literal(call, 0)
			ok = message != ""
		case "Err":
			line.fields = append([]string{"error"}, line.fields...)
		case "Debug", "Info", "Warn", "Error":
			line.level = strings.ToLower(name)
			return message, line, ok
		default:
			if f := literal(call, 0); f != "" {
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

func literal(call *ast.CallExpr, arg int) string {
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

var logRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| (debug|info|warn|error) \\| ((?:`[a-z_]+`(?:, )?)*) \\| [^|]+ \\|$")

// Guards against a page of log lines that does not say what nodes write.
func TestPageOfLogLinesIsTrue(t *testing.T) {
	lines := map[string]logLine{}
	for _, pattern := range []string{
		"../../internal/mesh/*.go", "../../platform/*.go", "../../cmd/galenad/mesh.go", "../../cmd/galenad/reload.go",
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
		must.True(t, ok, must.Sprintf("no line %q is written", message))
		must.EqOp(t, level, line.level, must.Sprint(message))
		must.EqOp(t, "`"+strings.Join(line.fields, "`, `")+"`", orNone(fields), must.Sprint(message))
	}
	for message, line := range lines {
		must.True(t, documented[message], must.Sprintf("| `%s` | %s | `%s` | ? |", message, line.level, strings.Join(line.fields, "`, `")))
	}
}

// The page names the fields of event lines; each must be one that is written.
func TestPageNamesFieldsOfEvents(t *testing.T) {
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

// orNone stands for an empty list as the join of one does.
func orNone(fields string) string {
	if fields == "" {
		return "``"
	}
	return fields
}
