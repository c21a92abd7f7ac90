package policy

import (
	"strconv"
	"strings"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

// Field describes one behaviour field: how it is written, its default and its
// bounds (both included).
type Field struct {
	Name string
	// Type is that of parameters that may feed it; empty for fields that take
	// a literal only.
	Type Type
	// Unit is how a figure is counted; durations carry their own.
	Unit              string
	Default, Min, Max string
	// Choices are the words of a field without Type.
	Choices []string
	// List allows several choices, separated by commas.
	List bool
	Help string

	value func(*Behaviour) *Value
	set   func(*Effective, scalar)
	get   func(*Effective) scalar
}

// Fields returns the behaviour fields in their order of display.
func Fields() []Field { return append([]Field(nil), fields...) }

// scalar is a decoded value of any type; which member counts is the field's
// type.
type scalar struct {
	i int64
	f float64
	d time.Duration
	b bool
	s string
}

func intField(name, unit, def, low, high, help string, value func(*Behaviour) *Value, at func(*Effective) *int) Field {
	return Field{
		Name: name, Type: TypeInt, Unit: unit, Default: def, Min: low, Max: high, Help: help, value: value,
		set: func(e *Effective, s scalar) { *at(e) = int(s.i) },
		get: func(e *Effective) scalar { return scalar{i: int64(*at(e))} },
	}
}

func bytesField(name, def, low, high, help string, value func(*Behaviour) *Value, at func(*Effective) *int64) Field {
	return Field{
		Name: name, Type: TypeInt, Unit: "bytes", Default: def, Min: low, Max: high, Help: help, value: value,
		set: func(e *Effective, s scalar) { *at(e) = s.i },
		get: func(e *Effective) scalar { return scalar{i: *at(e)} },
	}
}

func floatField(name, unit, def, low, high, help string, value func(*Behaviour) *Value, at func(*Effective) *float64) Field {
	return Field{
		Name: name, Type: TypeFloat, Unit: unit, Default: def, Min: low, Max: high, Help: help, value: value,
		set: func(e *Effective, s scalar) { *at(e) = s.f },
		get: func(e *Effective) scalar { return scalar{f: *at(e)} },
	}
}

func durationField(name, def, low, high, help string, value func(*Behaviour) *Value, at func(*Effective) *time.Duration) Field {
	return Field{
		Name: name, Type: TypeDuration, Unit: "duration", Default: def, Min: low, Max: high, Help: help, value: value,
		set: func(e *Effective, s scalar) { *at(e) = s.d },
		get: func(e *Effective) scalar { return scalar{d: *at(e)} },
	}
}

func boolField(name, def, help string, value func(*Behaviour) *Value, at func(*Effective) *bool) Field {
	return Field{
		Name: name, Type: TypeBool, Default: def, Help: help, value: value,
		set: func(e *Effective, s scalar) { *at(e) = s.b },
		get: func(e *Effective) scalar { return scalar{b: *at(e)} },
	}
}

func levelNames() []string {
	names := make([]string, callctx.Levels)
	for l := range names {
		names[l] = callctx.Level(l).String()
	}
	return names
}

func joinList(items []string) string { return strings.Join(items, ",") }

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

func formatInt(i int64) string { return strconv.FormatInt(i, 10) }
