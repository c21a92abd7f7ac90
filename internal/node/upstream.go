package node

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/admission"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/policy"
	"github.com/galenagrade/galenagrade/internal/quarantine"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

// Announcement is what the local upstream says of itself.
type Announcement struct {
	Service string `json:"service"`
	// Address is where it takes calls, IP:port.
	Address string `json:"address"`
	// Slots is how many calls it can run at a time.
	Slots int `json:"slots"`
	// Connections is how many connections it accepts.
	Connections int `json:"connections"`
}

// UpstreamAnnounced takes the local upstream into service.
func (n *Node) UpstreamAnnounced(now time.Time, a Announcement) {
	n.service.Store(&a.Service)
	n.guard.UpstreamUp(now, n.admissionConfig(a.Service, a.Slots))
	n.configureMemory()
	n.Event(now, timeline.Event{Kind: timeline.UpstreamJoined, Service: a.Service, Upstream: n.ID(), Detail: a.Address})
}

// UpstreamReplaced takes another process of the local upstream into service.
func (n *Node) UpstreamReplaced(now time.Time, a Announcement) {
	n.service.Store(&a.Service)
	n.guard.UpstreamReplaced(now, n.admissionConfig(a.Service, a.Slots))
	n.configureMemory()
	n.Event(now, timeline.Event{Kind: timeline.UpstreamJoined, Service: a.Service, Upstream: n.ID(), Detail: a.Address})
}

// UpstreamCrashed records the death of the local upstream's process, once, and
// spreads what it ran as suspects. It returns the incarnation that died last.
func (n *Node) UpstreamCrashed(now time.Time) uint64 {
	incarnation, suspects, first := n.guard.UpstreamDown(now, n.ID())
	if first {
		n.spread(suspects)
		n.Event(now, timeline.Event{Kind: timeline.UpstreamCrashed, Upstream: n.ID()})
		n.cfg.Metrics.Inc(metrics.UpstreamCrashes, 1)
		n.suspected(now, suspects)
		if n.cfg.OnCrash != nil {
			n.cfg.OnCrash()
		}
	}
	return incarnation
}

func (n *Node) spread(suspects []quarantine.CrashRecord) {
	n.cfg.Metrics.Inc(metrics.CrashRecordsGossiped, int64(len(suspects)))
	if len(suspects) > 0 && n.cfg.OnCrashRecords != nil {
		n.cfg.OnCrashRecords(suspects)
	}
}

// CrashRecords implements Router.
func (n *Node) CrashRecords(now time.Time, call *Call) []quarantine.CrashRecord {
	return n.guard.marks(now, call)
}

// ReportCrash implements Router.
func (n *Node) ReportCrash(now time.Time, call *Call, a *Response) {
	n.spread([]quarantine.CrashRecord{n.guard.witness(now, call, a)})
}

// admissionConfig derives the guard's limits from any instance that covers the
// service. Workspaces that share an upstream share its guard; the instance of
// the first workspace in order decides.
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
