package retry

import "fmt"

// FieldError reports a configuration field whose value is out of bounds.
type FieldError struct {
	Field string
	Value any
	Bound string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("retry config: %s is %v, must be %s", e.Field, e.Value, e.Bound)
}
