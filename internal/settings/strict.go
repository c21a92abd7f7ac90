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

// FieldError is the error for an invalid field of a settings file.
type FieldError struct {
	// Field is the path, such as "log.url" or "tokens[1].role".
	Field string
	// Value is the value found, or a description such as "unknown" or "an object".
	Value string
	// Bound describes the allowed values.
	Bound string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("settings: %s is %s, must be %s", e.Field, e.Value, e.Bound)
}

var durationType = reflect.TypeFor[Duration]()

// checkSchema checks the fields and value types of a document against a type. encoding/json alone
// accepts field names in another case and duplicate fields, and reports an unknown field without
// its path.
func checkSchema(doc []byte, t reflect.Type) error {
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
		return errors.Wrapf(err, "settings: %s at byte %d is not JSON", displayPath(path), dec.InputOffset())
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
		return &FieldError{displayPath(path), "null", expectedType(t)}
	}
}

func walkNested(dec *json.Decoder, t reflect.Type, path string, delim json.Delim) error {
	if delim == '{' && t.Kind() == reflect.Struct {
		return walkObject(dec, t, path)
	}
	if delim == '[' && t.Kind() == reflect.Slice {
		return walkArray(dec, t, path)
	}
	found := "an array"
	if delim == '{' {
		found = "an object"
	}
	return &FieldError{displayPath(path), found, expectedType(t)}
}

func walkObject(dec *json.Decoder, t reflect.Type, path string) error {
	fields := jsonFields(t)
	seen := make(map[string]bool, len(fields))
	for dec.More() {
		tok, err := dec.Token()
		if err != nil {
			return errors.Wrapf(err, "settings: %s at byte %d is not JSON", displayPath(path), dec.InputOffset())
		}
		name, _ := tok.(string)
		fieldType, ok := fields[name]
		fieldPath := joinPath(path, name)
		if !ok {
			return &FieldError{fieldPath, "unknown", "one of " + strings.Join(fieldNames(t), ", ")}
		}
		if seen[name] {
			return &FieldError{fieldPath, "given twice", "given once"}
		}
		seen[name] = true
		if err := walkValue(dec, fieldType, fieldPath); err != nil {
			return err
		}
	}
	return readClosingDelim(dec, path)
}

func walkArray(dec *json.Decoder, t reflect.Type, path string) error {
	for i := 0; dec.More(); i++ {
		if err := walkValue(dec, t.Elem(), fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	return readClosingDelim(dec, path)
}

func readClosingDelim(dec *json.Decoder, path string) error {
	if _, err := dec.Token(); err != nil {
		return errors.Wrapf(err, "settings: %s at byte %d is not JSON", displayPath(path), dec.InputOffset())
	}
	return nil
}

func checkString(t reflect.Type, path, v string) error {
	if t != durationType {
		return checkKind(t, path, reflect.String, fmt.Sprintf("%q", v))
	}
	if _, err := parseDuration(v); err != nil {
		return &FieldError{path, fmt.Sprintf("%q", v), expectedType(t)}
	}
	return nil
}

func checkNumber(t reflect.Type, path string, v json.Number) error {
	if t == durationType {
		return &FieldError{path, v.String(), expectedType(t)}
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

func checkKind(t reflect.Type, path string, want reflect.Kind, value string) error {
	if t.Kind() != want {
		return &FieldError{displayPath(path), value, expectedType(t)}
	}
	return nil
}

func expectedType(t reflect.Type) string {
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

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func displayPath(path string) string {
	if path == "" {
		return "document"
	}
	return path
}
