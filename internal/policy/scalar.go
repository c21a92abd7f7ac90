package policy

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// parseScalar decodes text as a value of type t; ok is false if it is not one.
func parseScalar(t Type, text string) (s scalar, ok bool) {
	if len(text) > MaxValueBytes {
		return scalar{}, false
	}
	var err error
	switch t {
	case TypeInt:
		s.i, err = strconv.ParseInt(text, 10, 64)
	case TypeFloat:
		s.f, err = strconv.ParseFloat(text, 64)
		if math.IsNaN(s.f) || math.IsInf(s.f, 0) {
			return scalar{}, false
		}
	case TypeDuration:
		s.d, err = time.ParseDuration(text)
	case TypeBool:
		s.b, err = strconv.ParseBool(text)
	default:
		return scalar{}, false
	}
	return s, err == nil
}

// formatHint describes the text form of values of type t, for error messages.
func (t Type) formatHint() string {
	switch t {
	case TypeInt:
		return "a whole number"
	case TypeFloat:
		return "a number"
	case TypeDuration:
		return `a duration with its unit, such as "250ms"`
	case TypeBool:
		return `"true" or "false"`
	}
	return "of a known type"
}

func (t Type) known() bool {
	return t == TypeInt || t == TypeFloat || t == TypeDuration || t == TypeBool
}

// ordered reports whether values of t can have Min and Max.
func (t Type) ordered() bool { return t.known() && t != TypeBool }

// less reports whether a is less than b, both of type t.
func (t Type) less(a, b scalar) bool {
	switch t {
	case TypeInt:
		return a.i < b.i
	case TypeFloat:
		return a.f < b.f
	case TypeDuration:
		return a.d < b.d
	}
	return false
}

// format returns the canonical text of a scalar of type t.
func (t Type) format(s scalar) string {
	switch t {
	case TypeInt:
		return strconv.FormatInt(s.i, 10)
	case TypeFloat:
		return strconv.FormatFloat(s.f, 'g', -1, 64)
	case TypeDuration:
		return s.d.String()
	case TypeBool:
		return strconv.FormatBool(s.b)
	}
	return s.s
}

// parseBounded decodes text as a value of type t between low and high, which are in text form and
// empty for no bound. It adds errors under name.
func parseBounded(errs *FieldErrors, name string, t Type, text, low, high string) (scalar, bool) {
	s, ok := parseScalar(t, text)
	if !ok {
		errs.add(name, text, t.formatHint())
		return scalar{}, false
	}
	if l, set := parseScalar(t, low); set && t.less(s, l) {
		errs.add(name, text, "at least "+low)
		return scalar{}, false
	}
	if h, set := parseScalar(t, high); set && t.less(h, s) {
		errs.add(name, text, "at most "+high)
		return scalar{}, false
	}
	return s, true
}

// parse decodes a literal of field f. It adds errors under name.
func (f *Field) parse(errs *FieldErrors, name, text string) (scalar, bool) {
	if f.Type != "" {
		return parseBounded(errs, name, f.Type, text, f.Min, f.Max)
	}
	if len(text) > MaxValueBytes {
		errs.add(name, text, fmt.Sprintf("at most %d bytes", MaxValueBytes))
		return scalar{}, false
	}
	words := []string{text}
	if f.List {
		words = strings.Split(text, ",")
	}
	for _, w := range words {
		if !slices.Contains(f.Choices, w) {
			errs.add(name, text, f.choicesText())
			return scalar{}, false
		}
	}
	return scalar{s: text}, true
}

func (f *Field) choicesText() string {
	if f.List {
		return "a comma-separated list of " + strings.Join(f.Choices, ", ")
	}
	return "one of " + strings.Join(f.Choices, ", ")
}

// format returns the text of the field in e; empty if e is nil.
func (f *Field) format(e *Effective) string {
	if e == nil {
		return ""
	}
	return f.Type.format(f.get(e))
}
