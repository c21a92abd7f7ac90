package policy

import (
	"strconv"
	"strings"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

// Field describes a behaviour field: its text form, its default and its bounds, which are
// inclusive.
type Field struct {
	Name string
	// Type is the type of the parameters that the field may refer to; empty for fields that
	// accept only a literal.
	Type Type
	// Unit is the unit of a number. Durations include their unit in the value.
	Unit              string
	Default, Min, Max string
	// Choices are the valid values of a field without Type.
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

// scalar is a decoded value of any type. The type of the field selects the member that is set.
type scalar struct {
	i int64
	f float64
	d time.Duration
	b bool
	s string
}

func intField(name, unit, def, low, high, help string, value func(*Behaviour) *Value, target func(*Effective) *int) Field {
	return Field{
		Name: name, Type: TypeInt, Unit: unit, Default: def, Min: low, Max: high, Help: help, value: value,
		set: func(e *Effective, s scalar) { *target(e) = int(s.i) },
		get: func(e *Effective) scalar { return scalar{i: int64(*target(e))} },
	}
}

func bytesField(name, def, low, high, help string, value func(*Behaviour) *Value, target func(*Effective) *int64) Field {
	return Field{
		Name: name, Type: TypeInt, Unit: "bytes", Default: def, Min: low, Max: high, Help: help, value: value,
		set: func(e *Effective, s scalar) { *target(e) = s.i },
		get: func(e *Effective) scalar { return scalar{i: *target(e)} },
	}
}

func floatField(name, unit, def, low, high, help string, value func(*Behaviour) *Value, target func(*Effective) *float64) Field {
	return Field{
		Name: name, Type: TypeFloat, Unit: unit, Default: def, Min: low, Max: high, Help: help, value: value,
		set: func(e *Effective, s scalar) { *target(e) = s.f },
		get: func(e *Effective) scalar { return scalar{f: *target(e)} },
	}
}

func durationField(name, def, low, high, help string, value func(*Behaviour) *Value, target func(*Effective) *time.Duration) Field {
	return Field{
		Name: name, Type: TypeDuration, Unit: "duration", Default: def, Min: low, Max: high, Help: help, value: value,
		set: func(e *Effective, s scalar) { *target(e) = s.d },
		get: func(e *Effective) scalar { return scalar{d: *target(e)} },
	}
}

func boolField(name, def, help string, value func(*Behaviour) *Value, target func(*Effective) *bool) Field {
	return Field{
		Name: name, Type: TypeBool, Default: def, Help: help, value: value,
		set: func(e *Effective, s scalar) { *target(e) = s.b },
		get: func(e *Effective) scalar { return scalar{b: *target(e)} },
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
