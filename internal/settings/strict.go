package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/pkg/errors"
)

// FieldError says which field of the settings is at fault.
type FieldError struct {
	// Field is the path, such as "log.url" or "tokens[1].role".
	Field string
	// Value is what stands there.
	Value string
	// Bound is what it must be.
	Bound string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("settings: %s is %s, must be %s", e.Field, e.Value, e.Bound)
}

var durationType = reflect.TypeFor[Duration]()

// checkShape walks a document along a type. encoding/json alone would accept
// names in another case and repeated names, and names an unknown field
// without its path.
func checkShape(doc []byte, t reflect.Type) error {
	dec := json.NewDecoder(bytes.NewReader(doc))
	dec.UseNumber()
	if err := walkValue(dec, t, ""); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.Errorf("settings: data after the document, at byte %d", dec.InputOffset())
	}
	return nil
}

func walkValue(dec *json.Decoder, t reflect.Type, path string) error {
	tok, err := dec.Token()
	if err != nil {
		return errors.Wrapf(err, "settings: %s at byte %d is not JSON", nameOf(path), dec.InputOffset())
	}
	if t.Kind() == reflect.Pointer {
		if tok == nil {
			return nil
		}
		t = t.Elem()
	}
	switch v := tok.(type) {
	case json.Delim:
		return walkNested(dec, t, path, v)
	case string:
		return checkString(t, path, v)
	case json.Number:
		return checkNumber(t, path, v)
	case bool:
		return checkKind(t, path, reflect.Bool, fmt.Sprint(v))
	default:
		return &FieldError{nameOf(path), "null", kindName(t)}
	}
}

func walkNested(dec *json.Decoder, t reflect.Type, path string, open json.Delim) error {
	if open == '{' && t.Kind() == reflect.Struct {
		return walkObject(dec, t, path)
	}
	if open == '[' && t.Kind() == reflect.Slice {
		return walkArray(dec, t, path)
	}
	found := "an array"
	if open == '{' {
		found = "an object"
	}
	return &FieldError{nameOf(path), found, kindName(t)}
}

func walkObject(dec *json.Decoder, t reflect.Type, path string) error {
	fields := jsonFields(t)
	seen := make(map[string]bool, len(fields))
	for dec.More() {
		tok, err := dec.Token()
		if err != nil {
			return errors.Wrapf(err, "settings: %s at byte %d is not JSON", nameOf(path), dec.InputOffset())
		}
		name, _ := tok.(string)
		ft, ok := fields[name]
		at := join(path, name)
		if !ok {
			return &FieldError{at, "unknown", "one of " + strings.Join(fieldNames(t), ", ")}
		}
		if seen[name] {
			return &FieldError{at, "given twice", "given once"}
		}
		seen[name] = true
		if err := walkValue(dec, ft, at); err != nil {
			return err
		}
	}
	return closeNested(dec, path)
}

func walkArray(dec *json.Decoder, t reflect.Type, path string) error {
	for i := 0; dec.More(); i++ {
		if err := walkValue(dec, t.Elem(), fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	return closeNested(dec, path)
}

func closeNested(dec *json.Decoder, path string) error {
	if _, err := dec.Token(); err != nil {
		return errors.Wrapf(err, "settings: %s at byte %d is not JSON", nameOf(path), dec.InputOffset())
	}
	return nil
}

func checkString(t reflect.Type, path, v string) error {
	if t != durationType {
		return checkKind(t, path, reflect.String, fmt.Sprintf("%q", v))
	}
	if _, err := parseDuration(v); err != nil {
		return &FieldError{path, fmt.Sprintf("%q", v), kindName(t)}
	}
	return nil
}

func checkNumber(t reflect.Type, path string, v json.Number) error {
	if t == durationType {
		return &FieldError{path, v.String(), kindName(t)}
	}
	if t.Kind() == reflect.Float64 {
		return nil
	}
	if err := checkKind(t, path, reflect.Int, v.String()); err != nil {
		return err
	}
	if _, err := v.Int64(); err != nil {
		return &FieldError{path, v.String(), "a whole number of at most 64 bits"}
	}
	return nil
}

func checkKind(t reflect.Type, path string, k reflect.Kind, value string) error {
	if t.Kind() != k {
		return &FieldError{nameOf(path), value, kindName(t)}
	}
	return nil
}

func kindName(t reflect.Type) string {
	if t == durationType {
		return `a string with a unit such as "250ms"`
	}
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	default:
		return "a string"
	}
}

func jsonFields(t reflect.Type) map[string]reflect.Type {
	m := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		m[t.Field(i).Tag.Get("json")] = t.Field(i).Type
	}
	return m
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("json"))
	}
	return names
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func nameOf(path string) string {
	if path == "" {
		return "document"
	}
	return path
}
