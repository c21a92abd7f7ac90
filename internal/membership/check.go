package membership

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

// Bounds of what another writer can set in a membership record. They don't depend on the time, so that all
// replicas skip the same records.
const (
	// MaxIncarnation bounds incarnations, which are the start times of processes in Unix nanoseconds. A greater
	// one would end every later process of its node.
	MaxIncarnation = 1 << 62
	// MaxSlots bounds the slots of an upstream, and MaxConnections its connections.
	MaxSlots, MaxConnections = 100_000, 1 << 20
	// maxTextLen bounds regions and zones in bytes.
	maxTextLen = 128
)

// FieldError reports a field of a record that is out of bounds.
type FieldError struct {
	Node  string
	Field string
	Value any
	Bound string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("membership record of node %.128q: %s is %.128q, must be %s", e.Node, e.Field, fmt.Sprint(e.Value), e.Bound)
}

// Validate returns a *FieldError for the first field that is out of bounds.
func (r Join) Validate() error { return r.Member.Validate() }

// Validate returns a *FieldError for the first field that is out of bounds.
func (r Leave) Validate() error { return r.ID.Validate() }

// Validate returns a *FieldError for the first field that is out of bounds.
func (r Evict) Validate() error { return r.ID.Validate() }

// Validate returns a *FieldError for the first field that is out of bounds.
func (id Identity) Validate() error {
	switch {
	case !callctx.ValidName(id.Node):
		return &FieldError{id.Node, "node", id.Node, "a name"}
	case id.Incarnation == 0 || id.Incarnation > MaxIncarnation:
		return &FieldError{id.Node, "incarnation", id.Incarnation, fmt.Sprintf("1 to %d", int64(MaxIncarnation))}
	}
	return nil
}

// Validate returns a *FieldError for the first field that is out of bounds.
func (m Member) Validate() error {
	if err := m.Identity.Validate(); err != nil {
		return err
	}
	switch {
	case m.Service != "" && !callctx.ValidName(m.Service):
		return &FieldError{m.Node, "service", m.Service, "a name or empty"}
	case m.Workspace != "" && !callctx.ValidName(m.Workspace):
		return &FieldError{m.Node, "workspace", m.Workspace, "a name or empty"}
	case !validAddress(m.InnerAddr):
		return &FieldError{m.Node, "inner address", m.InnerAddr, "host:port, port 1 to 65535"}
	case m.Slots < 0 || m.Slots > MaxSlots:
		return &FieldError{m.Node, "slots", m.Slots, fmt.Sprintf("0 to %d", MaxSlots)}
	case m.Connections < 0 || m.Connections > MaxConnections:
		return &FieldError{m.Node, "connections", m.Connections, fmt.Sprintf("0 to %d", MaxConnections)}
	case len(m.Region) > maxTextLen || len(m.Zone) > maxTextLen:
		return &FieldError{m.Node, "region or zone", m.Region + " " + m.Zone, fmt.Sprintf("at most %d bytes", maxTextLen)}
	}
	return nil
}

// validAddress reports whether an address names a host and a port.
func validAddress(address string) bool {
	colon := strings.LastIndexByte(address, ':')
	if colon <= 0 {
		return false
	}
	port, err := strconv.ParseUint(address[colon+1:], 10, 16)
	return err == nil && port > 0 && !strings.ContainsAny(address, " \r\n\x00")
}
