package node

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/admission"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/policy"
	"github.com/galenagrade/galenagrade/internal/quarantine"
	"github.com/galenagrade/galenagrade/internal/routing"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

// Announcement is what the local upstream reports when it registers with its node.
type Announcement struct {
	Service string `json:"service"`
	// Address is the address on which the upstream accepts calls, IP:port.
	Address string `json:"address"`
	// Slots is the number of calls that the upstream can run concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that the upstream accepts.
	Connections int `json:"connections"`
	// Process identifies the process; its ID is empty if it is unknown.
	Process routing.Process `json:"-"`
}

// UpstreamAnnounced puts the local upstream into service.
func (n *Node) UpstreamAnnounced(now time.Time, a Announcement) {
	n.service.Store(&a.Service)
	n.guard.UpstreamUp(now, n.admissionConfig(a.Service, a.Slots))
	n.configureRetention()
	n.Event(now, timeline.Event{Kind: timeline.UpstreamJoined, Service: a.Service, Upstream: n.ID(), Detail: a.Address})
}

// UpstreamReplaced puts a new process of the local upstream into service in place of the old
// one.
func (n *Node) UpstreamReplaced(now time.Time, a Announcement) {
	n.service.Store(&a.Service)
	n.guard.UpstreamReplaced(now, a.Process, n.admissionConfig(a.Service, a.Slots))
	n.configureRetention()
	n.Event(now, timeline.Event{Kind: timeline.UpstreamJoined, Service: a.Service, Upstream: n.ID(), Detail: a.Address})
}

// UpstreamResumed puts the process of the local upstream into service again that was considered dead
// and is not.
func (n *Node) UpstreamResumed(now time.Time, a Announcement) {
	n.guard.UpstreamResumed(now, n.admissionConfig(a.Service, a.Slots))
	n.Event(now, timeline.Event{Kind: timeline.UpstreamBack, Service: a.Service, Upstream: n.ID(), Detail: a.Address})
}

// UpstreamCrashed records a crash of the local upstream's process, once, and gossips crash
// records of the requests that it ran. It returns the incarnation of the process that crashed
// last.
func (n *Node) UpstreamCrashed(now time.Time) uint64 {
	incarnation, records, first := n.guard.UpstreamDown(now, n.ID())
	if first {
		n.gossip(records)
		n.Event(now, timeline.Event{Kind: timeline.UpstreamCrashed, Upstream: n.ID()})
		n.cfg.Metrics.Inc(metrics.UpstreamCrashes, 1)
		n.recordSuspected(now, records)
		if n.cfg.OnCrash != nil {
			n.cfg.OnCrash()
		}
	}
	return incarnation
}

func (n *Node) gossip(records []quarantine.CrashRecord) {
	n.cfg.Metrics.Inc(metrics.CrashRecordsGossiped, int64(len(records)))
	if len(records) > 0 && n.cfg.OnCrashRecords != nil {
		n.cfg.OnCrashRecords(records)
	}
}

// CrashRecords implements Router.
func (n *Node) CrashRecords(now time.Time, call *Call) []quarantine.CrashRecord {
	return n.guard.crashRecords(now, call)
}

// ReportCrash implements Router.
func (n *Node) ReportCrash(now time.Time, call *Call, a *Response) {
	n.gossip([]quarantine.CrashRecord{n.guard.recordCrash(now, call, a)})
}

// admissionConfig returns the limits of the guard for the service. Workspaces that share an
// upstream share its guard: the instance of the first workspace in order decides.
func (n *Node) admissionConfig(service string, slots int) admission.Config {
	cfg := admission.DefaultConfig(slots)
	if eff, ok := instanceFor(n.policy.Load(), service); ok {
		cfg = withTemplate(cfg, eff)
	}
	if n.cfg.MaxQueue > 0 {
		cfg.QueueLimit = min(cfg.QueueLimit, n.cfg.MaxQueue)
	}
	return cfg
}

func withTemplate(cfg admission.Config, eff *policy.Effective) admission.Config {
	cfg.QueueLimit = eff.QueueLimit
	cfg.SojournTarget = eff.SojournTarget
	cfg.SojournInterval = eff.SojournInterval
	cfg.MaxWait = eff.MaxWait
	cfg.Worth = eff.Worth
	cfg.Adapt = eff.Adapt
	return cfg
}
