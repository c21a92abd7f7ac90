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

var docRow = regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\| *([^|]*?) *\\| *([^|]*?) *\\|[^|]*\\|$")

// leaves lists the fields of the file with the values that v holds.
func leaves(v reflect.Value, path string, into map[string]any) {
	for i := range v.NumField() {
		name := join(path, v.Type().Field(i).Tag.Get("json"))
		if f := v.Field(i); f.Kind() == reflect.Struct {
			leaves(f, name, into)
		} else {
			into[name] = f.Interface()
		}
	}
}

// boundOf sets one field of a valid file far too low and returns the bound
// that the error names.
func boundOf(t *testing.T, field string, value any) string {
	var doc map[string]any
	must.NoError(t, json.Unmarshal([]byte(minimal), &doc))
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

// spelled is a documented number or duration as the errors write it.
func spelled(s string) string {
	if d, err := parseDuration(s); err == nil {
		return d.String()
	}
	return s
}

// An operator sets a value from the page. Every field, default and range on
// the page must be that of the code, in both directions.
func TestDocumentedSettingsAreTheCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/settings.md")
	must.NoError(t, err)
	fields := map[string]any{}
	leaves(reflect.ValueOf(*Defaults()), "", fields)
	for _, m := range docRow.FindAllStringSubmatch(string(page), -1) {
		field, def, bounds := m[1], strings.Trim(m[2], "`"), m[3]
		value, ok := fields[field]
		must.True(t, ok, must.Sprintf("%s is documented and not a field, or documented twice", field))
		delete(fields, field)
		if low, high, ok := strings.Cut(strings.Split(bounds, ",")[0], " - "); ok {
			want := fmt.Sprintf("between %s and %s", spelled(low), spelled(high))
			must.Eq(t, want, boundOf(t, field, value))
		}
		switch def {
		case "required", "none", "inner.address", "[]":
			must.True(t, reflect.ValueOf(value).IsZero() || reflect.ValueOf(value).Len() == 0, must.Sprint(field))
		default:
			must.Eq(t, spelled(def), fmt.Sprint(value), must.Sprint(field))
		}
	}
	must.MapEmpty(t, fields, must.Sprintf("the page lacks %v", slices.Sorted(maps.Keys(fields))))
}
