// Package bounds checks values of configurations.
package bounds

import (
	"fmt"
	"time"
)

// Check returns an error that names the package and the field if v is below low or above high.
func Check[T int | time.Duration](pkg, field string, v, low, high T) error {
	if v < low || v > high {
		return fmt.Errorf("%s: %s is %v, want %v to %v", pkg, field, v, low, high)
	}
	return nil
}
