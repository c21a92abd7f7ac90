package timeline

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// hlcTimeLayout is the layout of the physical part in the text form. The JSON form of HLC is text
// because JSON readers that parse numbers as floating point lose the low bits of 64-bit integers.
// The text form sorts in timestamp order.
const hlcTimeLayout = "2006-01-02T15:04:05.000Z"

const counterDigits = 5

// String returns the text form, such as 2026-05-01T09:00:00.250Z+00003.
func (h HLC) String() string {
	return fmt.Sprintf("%s+%0*d", h.Time().Format(hlcTimeLayout), counterDigits, h.Counter())
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

// ParseHLC parses the text form of a timestamp.
func ParseHLC(s string) (HLC, error) {
	physical, counter, ok := strings.Cut(s, "+")
	if !ok || len(counter) != counterDigits {
		return 0, invalidHLC(s)
	}
	t, err := time.Parse(hlcTimeLayout, physical)
	if err != nil || t.UnixMilli() < 0 {
		return 0, invalidHLC(s)
	}
	n, err := strconv.ParseUint(counter, 10, counterBits)
	if err != nil {
		return 0, invalidHLC(s)
	}
	return HLCAt(t) + HLC(n), nil
}

func invalidHLC(s string) error {
	return errors.Errorf("timeline: hlc is %q, must be like 2026-05-01T09:00:00.250Z+00003", s)
}
