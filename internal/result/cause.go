package result

import (
	"fmt"
	"strconv"
	"strings"
)

// Cause is the decision that the failure of a request comes down to: the refusal
// or failure of the deepest call made for it.
type Cause struct {
	Code Code `json:"code"`
	// Service is the one that the call was for.
	Service string `json:"service"`
	// Node is where it was decided.
	Node string `json:"node"`
}

// String says it for people.
func (c *Cause) String() string {
	return fmt.Sprintf("%d %s at %s for %s", int(c.Code), c.Code, c.Node, c.Service)
}

// Encode is the form that travels between nodes.
func (c *Cause) Encode() string {
	return strconv.Itoa(int(c.Code)) + " " + c.Service + " " + c.Node
}

// maxCauseBytes bounds a cause of another node, which goes into log lines: a code and
// two names of 64 bytes, with room for longer names of other versions.
const maxCauseBytes = 256

// DecodeCause reads what Encode wrote; nil when it says nothing that can be read.
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
