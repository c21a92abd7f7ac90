package timeline

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// textLayout is the physical part in the written form. Number readers of
// JSON lose the low bits of 64-bit integers, hence text; its order as text is
// the order of the timestamps.
const textLayout = "2006-01-02T15:04:05.000Z"

const counterDigits = 5

// String returns the written form, such as 2026-05-01T09:00:00.250Z+00003.
func (h HLC) String() string {
	return fmt.Sprintf("%s+%0*d", h.Time().Format(textLayout), counterDigits, h.Counter())
}

// MarshalText implements encoding.TextMarshaler.
func (h HLC) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *HLC) UnmarshalText(b []byte) error {
	v, err := ParseHLC(string(b))
	if err != nil {
		return err
	}
	*h = v
	return nil
}

// ParseHLC reads the written form.
func ParseHLC(s string) (HLC, error) {
	stamp, count, ok := strings.Cut(s, "+")
	if !ok || len(count) != counterDigits {
		return 0, badHLC(s)
	}
	t, err := time.Parse(textLayout, stamp)
	if err != nil || t.UnixMilli() < 0 {
		return 0, badHLC(s)
	}
	n, err := strconv.ParseUint(count, 10, counterBits)
	if err != nil {
		return 0, badHLC(s)
	}
	return HLCAt(t) + HLC(n), nil
}

func badHLC(s string) error {
	return errors.Errorf("timeline: hlc is %q, must be like 2026-05-01T09:00:00.250Z+00003", s)
}
