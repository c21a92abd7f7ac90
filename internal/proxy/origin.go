package proxy

import (
	"strconv"
	"strings"

	"github.com/galenagrade/galenagrade/internal/dedup"
)

func encodeOrigin(o dedup.Origin) string {
	return formatIncarnation(o.Sender.Incarnation) + " " + strconv.FormatUint(o.Number, 10)
}

// decodeOrigin parses a value of encodeOrigin. Without a valid one, the sender does not number its calls.
func decodeOrigin(fromNode, text string) dedup.Origin {
	unnumbered := dedup.Origin{Sender: dedup.Sender{Node: fromNode}}
	incarnationText, numberText, _ := strings.Cut(text, " ")
	incarnation, err := strconv.ParseUint(incarnationText, 16, 64)
	if err != nil {
		return unnumbered
	}
	number, err := strconv.ParseUint(numberText, 10, 64)
	if err != nil || number == 0 {
		return unnumbered
	}
	return dedup.Origin{Sender: dedup.Sender{Node: fromNode, Incarnation: incarnation}, Number: number}
}
