package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

var settingRow = regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\| *([^|]*?) *\\| *([^|]*?) *\\|[^|]*\\|$")

// collectFields stores the value of every leaf field of v in into, keyed by its path in the file.
func collectFields(v reflect.Value, path string, into map[string]any) {
	for i := range v.NumField() {
		name := joinPath(path, v.Type().Field(i).Tag.Get("json"))
		if f := v.Field(i); f.Kind() == reflect.Struct {
			collectFields(f, name, into)
		} else {
			into[name] = f.Interface()
		}
	}
}

// reportedBound sets one field of a valid file to a value below its range and returns the bound
// from the error.
func reportedBound(t *testing.T, field string, value any) string {
	var doc map[string]any
	must.NoError(t, json.Unmarshal([]byte(minimalDoc), &doc))
	var bad any = -1 << 40
	if _, ok := value.(Duration); ok {
		bad = "-1h"
	}
	group, name, _ := strings.Cut(field, ".")
	if _, ok := doc[group]; !ok {
		doc[group] = map[string]any{}
	}
	doc[group].(map[string]any)[name] = bad
	b, err := json.Marshal(doc)
	must.NoError(t, err)
	_, err = Parse(b)
	var fe *FieldError
	must.ErrorAs[*FieldError](t, err, &fe)
	must.Eq(t, field, fe.Field)
	return fe.Bound
}

// canonicalValue converts a documented number or duration to the form used in errors.
func canonicalValue(s string) string {
	if d, err := parseDuration(s); err == nil {
		return d.String()
	}
	return s
}

// Guards against an operations page whose fields, defaults or ranges differ from the code, in
// either direction. Operators choose values from that page.
func TestDocumentedSettingsMatchCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/settings.md")
	must.NoError(t, err)
	fields := map[string]any{}
	collectFields(reflect.ValueOf(*Defaults()), "", fields)
	for _, m := range settingRow.FindAllStringSubmatch(string(page), -1) {
		field, documentedDefault, bounds := m[1], strings.Trim(m[2], "`"), m[3]
		value, ok := fields[field]
		must.True(t, ok, must.Sprintf("%s is documented and not a field, or documented twice", field))
		delete(fields, field)
		if lowest, highest, ok := strings.Cut(strings.Split(bounds, ",")[0], " - "); ok {
			want := fmt.Sprintf("between %s and %s", canonicalValue(lowest), canonicalValue(highest))
			must.Eq(t, want, reportedBound(t, field, value))
		}
		switch documentedDefault {
		case "required", "none", "inner.address", "[]":
			must.True(t, reflect.ValueOf(value).IsZero() || reflect.ValueOf(value).Len() == 0, must.Sprint(field))
		default:
			must.Eq(t, canonicalValue(documentedDefault), fmt.Sprint(value), must.Sprint(field))
		}
	}
	must.MapEmpty(t, fields, must.Sprintf("the page lacks %v", slices.Sorted(maps.Keys(fields))))
}
