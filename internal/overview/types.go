// Package overview holds what the nodes of a deployment know of its demand and capacity as a whole:
// how many requests each workspace sends, and how much room each service has in each availability
// zone.
//
// Each node reports to one node of its zone, the collector, which adds the reports up, exchanges the
// sums with the collectors of the other zones, and answers each report with the view of all zones.
// All of it is soft state: it is held in memory, each part has an age, and a part that is not renewed
// is dropped. A node without a view decides as if there were none.
//
// The package is pure: no I/O, no clock, no random source of its own.
package overview

import "time"

// Report is what one node says of itself. Rates are averages over about a second.
type Report struct {
	Node string `json:"node"`
	// Zone is the node's region and availability zone.
	Zone string `json:"zone"`
	// Incarnation is the start of the node's process in Unix nanoseconds, and Sequence numbers its
	// reports. Of two reports of a node the one with the higher pair is the newer one.
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	// IntervalMillis is the time until the node's next report, in milliseconds.
	IntervalMillis int64 `json:"interval_ms"`
	// ZonesHash is a hash of the names of the zones in the node's last view, in their order; 0 without one.
	ZonesHash uint32 `json:"zones_hash,omitempty"`
	// zones are these names, known to the node only.
	zones []string
	// Workspaces is the demand of workspaces at this node, the largest first.
	Workspaces []WorkspaceDemand `json:"workspaces,omitempty"`
	// Calls are the calls that this node sends, by service.
	Calls []ServiceDemand `json:"calls,omitempty"`
	// Upstream is the capacity of the local upstream; nil if it serves nothing.
	Upstream *Capacity `json:"upstream,omitempty"`
}

// WorkspaceDemand is the rate at which callers of a workspace send requests, whether they are
// admitted or not.
type WorkspaceDemand struct {
	Workspace string `json:"workspace"`
	// PerSecond counts requests.
	PerSecond float64 `json:"per_s"`
}

// ServiceDemand is the rate of the calls that nodes send to a service.
type ServiceDemand struct {
	Service string `json:"service"`
	// PerSecond counts calls, including those that no upstream accepted.
	PerSecond float64 `json:"per_s"`
}

// Capacity is what one or more upstreams of a service can do, and what they do now.
type Capacity struct {
	Service string `json:"service"`
	// Upstreams is the number of upstreams added up.
	Upstreams int `json:"upstreams"`
	// Slots is the number of calls that they can run at once, by their guards' limits.
	Slots float64 `json:"slots"`
	// Busy is the mean number of running calls, and Queued of those that wait.
	Busy   float64 `json:"busy"`
	Queued float64 `json:"queued"`
	// PerSecond is the rate of the calls that ended.
	PerSecond float64 `json:"per_s"`
	// Kinds are the service times by kind of call.
	Kinds []KindTime `json:"kinds,omitempty"`
}

// KindTime is the service time of one kind of call. Calls of a kind do the same work, so their times
// compare upstreams.
type KindTime struct {
	// Kind identifies the kind among the calls of one service; all nodes compute the same value.
	Kind uint32 `json:"kind"`
	// Seconds is the mean service time, and PerSecond the rate of such calls.
	Seconds   float64 `json:"seconds"`
	PerSecond float64 `json:"per_s"`
}

// Zone is the sum of the reports of one availability zone.
type Zone struct {
	// Name is the region and the availability zone.
	Name string `json:"name"`
	// AgeMillis is the age of the sum, in milliseconds, as counted by the nodes that passed it on.
	AgeMillis int64 `json:"age_ms"`
	// Nodes is the number of nodes that reported.
	Nodes int `json:"nodes"`
	// Workspaces is the demand of the workspaces with the highest demand, at most MaxWorkspaces, and
	// Rest the sum of all others.
	Workspaces []WorkspaceDemand `json:"workspaces,omitempty"`
	Rest       RestDemand        `json:"rest"`
	Calls      []ServiceDemand   `json:"calls,omitempty"`
	Services   []Capacity        `json:"services,omitempty"`
	// Used are the services that the zone calls or serves, whether the lists hold them or not.
	Used ServiceFilter `json:"-"`
}

// RestDemand is the demand of several workspaces together.
type RestDemand struct {
	Workspaces int     `json:"workspaces"`
	PerSecond  float64 `json:"per_s"`
}

// View is what a node knows of all zones. It holds what concerns the node: the workspaces and services
// that its report names.
type View struct {
	// Zones are sorted by name. Their Workspaces are empty.
	Zones []Zone `json:"zones"`
	// Workspaces is the demand of the workspaces in the node's report, over all zones.
	Workspaces []WorkspaceDemand `json:"workspaces,omitempty"`
	// Top is the demand of the workspaces with the highest demand over all zones, at most
	// MaxTopWorkspaces and the highest first. It is the same for all nodes whose report names a
	// workspace, and empty for others.
	Top []WorkspaceDemand `json:"top,omitempty"`
	// Total is the demand of all workspaces over all zones, listed or not.
	Total RestDemand `json:"total"`
	// ReceivedAt is the time at which the node received the view.
	ReceivedAt time.Time `json:"-"`
}

// Bounds of a message. A report or a zone with more entries drops those of the lowest rate.
const (
	// MaxWorkspaces bounds the workspaces of a report and of a zone.
	MaxWorkspaces = 64
	// MaxTopWorkspaces bounds the workspaces that each view lists.
	MaxTopWorkspaces = 16
	// MaxKinds bounds the kinds of calls of one service.
	MaxKinds = 16
	// MaxCalls bounds the services that a node reports calls to.
	MaxCalls = 64
	// MaxServices bounds the services of a zone.
	MaxServices = 2048
	// MaxZones bounds the zones of a view, and MaxNodes the nodes that report to one collector.
	MaxZones = 128
	MaxNodes = 2048
)

const (
	// maxNameBytes bounds the name of a node, zone, workspace or service in bytes.
	maxNameBytes = 256
	// maxValue bounds rates, slots and other quantities.
	maxValue = 1e9
	// maxInterval bounds the time between two reports.
	maxInterval = time.Minute
	// maxClockLead is how far the start of a process may lie in the future by the collector's clock.
	maxClockLead = time.Hour
)
