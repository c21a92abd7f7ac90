package result

import (
	"fmt"
	"strconv"
	"strings"
)

// Cause is the root cause of a failed request: the refusal or failure of the deepest call made
// for it.
type Cause struct {
	Code Code `json:"code"`
	// Service is the service that the failed call was sent to.
	Service string `json:"service"`
	// Node is the node that refused the call or saw it fail.
	Node string `json:"node"`
}

// String returns the cause as readable text.
func (c *Cause) String() string {
	return fmt.Sprintf("%d %s at %s for %s", int(c.Code), c.Code, c.Node, c.Service)
}

// Encode returns the form sent between nodes: code, service and node, separated by spaces.
func (c *Cause) Encode() string {
	return strconv.Itoa(int(c.Code)) + " " + c.Service + " " + c.Node
}

// maxCauseBytes bounds the length of a cause received from another node, because it goes into log
// lines. The bound fits a code and two names of 64 bytes, with room for longer names in other
// versions.
const maxCauseBytes = 256

// DecodeCause parses the output of Encode. It returns nil for malformed or oversized text.
func DecodeCause(text string) *Cause {
	if len(text) > maxCauseBytes {
		return nil
	}
	parts := strings.Split(text, " ")
	if len(parts) != 3 || parts[1] == "" || parts[2] == "" {
		return nil
	}
	code, err := strconv.Atoi(parts[0])
	if err != nil || code <= 0 {
		return nil
	}
	return &Cause{Code: Code(code), Service: parts[1], Node: parts[2]}
}
