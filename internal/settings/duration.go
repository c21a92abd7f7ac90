package settings

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration whose JSON form is a string with a unit, such as "250ms" or "1m30s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns d with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// UnmarshalJSON implements json.Unmarshaler. It rejects a JSON number because a number has no unit.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Errorf("duration is %s, must be a string with a unit such as \"250ms\"", b)
	}
	v, err := parseDuration(s)
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

func parseDuration(s string) (time.Duration, error) {
	v, err := time.ParseDuration(s)
	if err != nil || !strings.ContainsAny(s, "hmsµun") {
		return 0, errors.Errorf("duration is %q, must be a number with a unit such as \"250ms\"", s)
	}
	return v, nil
}
