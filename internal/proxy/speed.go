package proxy

import (
	"strconv"

	"github.com/galenagrade/galenagrade/internal/speed"
)

// speedDecimals is the number of decimal places of a speed that is sent.
const speedDecimals = 2

func encodeSpeed(s float64) string { return strconv.FormatFloat(s, 'f', speedDecimals, 64) }

// decodeSpeed parses a relative speed. An empty or invalid text is an unknown one.
func decodeSpeed(text string) float64 {
	if text == "" {
		return speed.Unknown
	}
	s, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return speed.Unknown
	}
	return speed.Clamp(s)
}
