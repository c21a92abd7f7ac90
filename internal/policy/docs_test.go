package policy

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// fieldRow returns the row of a field in the table of the operators' page.
func fieldRow(f Field) string {
	typeText, low, high := string(f.Type), f.Min, f.Max
	if typeText == "" {
		typeText = "one of " + strings.Join(f.Choices, ", ")
		if f.List {
			typeText = "list of " + strings.Join(f.Choices, ", ")
		}
	}
	unit := f.Unit
	if unit == "duration" {
		unit = ""
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s | %s | %s |", f.Name, typeText, unit, f.Default, low, high, f.Help)
}

// Guards against an operators' page that lacks a field or states other bounds than those in
// force.
func TestOperatorsPageListsEveryField(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "operations", "configuration.md"))
	must.NoError(t, err)
	lines := strings.Split(string(page), "\n")
	rows := 0
	for _, line := range lines {
		if strings.HasPrefix(line, "| `") && strings.Count(line, "|") == 8 {
			rows++
		}
	}
	for _, f := range Fields() {
		must.SliceContains(t, lines, fieldRow(f))
	}
	must.Eq(t, len(Fields()), rows)
}
