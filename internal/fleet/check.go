package fleet

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/routing"
)

// Bounds of what another writer can set in a record or a report.
const (
	// MaxSlots bounds the slots of an upstream.
	MaxSlots = 100_000
	// MaxRevision bounds the revisions of one process of a node.
	MaxRevision = 1 << 32
	// MaxColdFor bounds the slow start of an upstream.
	MaxColdFor = 10 * time.Minute
	// maxClockLead bounds how far another writer's clock may be ahead.
	maxClockLead = time.Hour
	// maxSequence bounds the reports of one process of an upstream.
	maxSequence = 1 << 53
	// maxTextLen bounds IDs and texts that are not names, in bytes.
	maxTextLen = 128
)

// FieldError reports a field of a record or report that is out of bounds. Such a record or report names
// nothing that may be used.
type FieldError struct {
	// Of is what the field belongs to: a record or a report, with the name of its node or upstream.
	Of    string
	Field string
	Value any
	Bound string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%.160q: %s is %.160q, must be %s", e.Of, e.Field, fmt.Sprint(e.Value), e.Bound)
}

// checker collects the first field that is out of bounds.
type checker struct {
	of    string
	now   time.Time
	first error
}

func (c *checker) require(ok bool, field string, value any, bound string) {
	if !ok && c.first == nil {
		c.first = &FieldError{c.of, field, value, bound}
	}
}

func (c *checker) name(field, value string) {
	c.require(callctx.ValidName(value), field, value, "a name")
}

// address checks an IP address and a port to which a connection can be opened.
func (c *checker) address(value string) {
	parsed, err := netip.ParseAddrPort(value)
	usable := err == nil && parsed.Port() > 0 && !parsed.Addr().IsUnspecified() && !parsed.Addr().IsMulticast()
	c.require(usable, "address", value, "IP:port of one host, port 1 to 65535")
}

// text checks a value that is sent in a header.
func (c *checker) text(field, value string) {
	for i := range len(value) {
		if value[i] <= ' ' || value[i] > '~' {
			c.require(false, field, value, "printable ASCII without spaces")
		}
	}
	c.length(field, value)
}

func (c *checker) length(field, value string) {
	c.require(len(value) <= maxTextLen, field, value, fmt.Sprintf("at most %d bytes", maxTextLen))
}

func (c *checker) slots(value, least int) {
	c.require(value >= least && value <= MaxSlots, "slots", value, fmt.Sprintf("%d to %d", least, MaxSlots))
}

// millis checks a time in Unix milliseconds; 0 stands for none.
func (c *checker) millis(field string, value int64) {
	c.require(value >= 0 && value <= c.now.Add(maxClockLead).UnixMilli(), field, value, "a time that is at most one hour ahead")
}

func (c *checker) process(p routing.Process) {
	c.text("upstream", p.ID)
	c.millis("start time", p.StartedAt)
}

// Validate returns a *FieldError for the first field that is out of bounds. A record from the future would
// hide the later ones of its node.
func (m *Member) Validate(now time.Time) error {
	c := &checker{of: "member " + m.Node, now: now}
	c.name("node", m.Node)
	c.require(m.Incarnation > 0 && m.Incarnation <= uint64(now.Add(maxClockLead).UnixNano()), "incarnation", m.Incarnation, "a time that is at most one hour ahead")
	c.require(m.Revision <= MaxRevision, "revision", m.Revision, fmt.Sprintf("at most %d", MaxRevision))
	c.text("region", m.Region)
	c.text("zone", m.Zone)
	c.address(m.Address)
	c.name("service", m.Service)
	c.require(slices.Contains([]State{Serving, Stopping, Leaving, Gone}, m.State), "state", m.State, "serving, stopping, leaving or gone")
	leastSlots := 0
	if m.State == Serving {
		leastSlots = 1
	}
	c.slots(m.Slots, leastSlots)
	c.millis("serves_since", m.ServesSince)
	c.process(routing.Process{ID: m.Upstream, StartedAt: m.StartedAt})
	c.require(len(m.Predecessors) <= maxPublishedPredecessors, "predecessors", len(m.Predecessors), fmt.Sprintf("at most %d", maxPublishedPredecessors))
	for _, p := range m.Predecessors {
		c.process(routing.Process(p))
	}
	return c.first
}

// Validate returns a *FieldError for the first field that is out of bounds.
func (r *Report) Validate(now time.Time) error {
	c := &checker{of: "report of " + r.ID, now: now}
	c.require(r.ID != "", "ID", r.ID, "given")
	c.process(r.process())
	c.name("service", r.Service)
	c.address(r.Address)
	c.length("zone", r.Zone)
	c.length("version", r.Version)
	c.slots(r.Slots, 1)
	c.require(r.Sequence >= 0 && r.Sequence <= maxSequence, "sequence", r.Sequence, fmt.Sprintf("0 to %d", int64(maxSequence)))
	c.require(r.ColdFor >= 0 && r.ColdFor <= MaxColdFor, "remaining slow start", r.ColdFor, "0s to "+MaxColdFor.String())
	return c.first
}

// ValidateDeparture returns a *FieldError if the ID or the start time, in Unix milliseconds, of a process
// that says that it departs is out of bounds.
func ValidateDeparture(now time.Time, id string, startedAt int64) error {
	c := &checker{of: "departure of " + id, now: now}
	c.require(id != "", "ID", id, "given")
	c.process(routing.Process{ID: id, StartedAt: startedAt})
	return c.first
}

// ValidAddress reports whether a connection can be opened to an address, IP:port.
func ValidAddress(address string) bool {
	c := &checker{}
	c.address(address)
	return c.first == nil
}

// SameHost reports whether two addresses, IP:port, are of the same host. An address without an IP, as
// settings may have it, is one of every host.
func SameHost(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	return errX != nil || errY != nil || x.Addr().Unmap() == y.Addr().Unmap()
}
