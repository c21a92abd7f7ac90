package timeline

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
)

// Kind names what happened.
type Kind string

// The kinds of events. Their names are part of the output of
// `galenactl timeline`.
const (
	CallReceived   Kind = "call_received"
	CallRouted     Kind = "call_routed"
	CallAdmitted   Kind = "call_admitted"
	CallQueued     Kind = "call_queued"
	CallRefused    Kind = "call_refused"
	CallStarted    Kind = "call_started"
	CallAnswered   Kind = "call_answered"
	CallRetried    Kind = "call_retried"
	CallReattached Kind = "call_reattached"
	CallCancelled  Kind = "call_cancelled"
	CallJoined     Kind = "call_joined"

	UpstreamJoined  Kind = "upstream_joined"
	UpstreamLeft    Kind = "upstream_left"
	UpstreamCrashed Kind = "upstream_crashed"
	UpstreamEjected Kind = "upstream_ejected"
	UpstreamBack    Kind = "upstream_back"
	DrainStarted    Kind = "drain_started"
	DrainFinished   Kind = "drain_finished"

	ConfigApplied      Kind = "config_applied"
	PublicationDecided Kind = "publication_decided"
	SnapshotWritten    Kind = "snapshot_written"
	RelayChanged       Kind = "relay_changed"

	Takeover        Kind = "takeover"
	AuthorityLost   Kind = "authority_lost"
	AuthorityGained Kind = "authority_gained"
	HandedOver      Kind = "handed_over"

	Suspected   Kind = "suspect"
	Quarantined Kind = "quarantined"
	Cleared     Kind = "cleared"

	LogUnavailable   Kind = "log_unavailable"
	LogBack          Kind = "log_back"
	PeerUnreachable  Kind = "peer_unreachable"
	PeerBack         Kind = "peer_back"
	PartitionSeen    Kind = "partition_seen"
	PartitionHealed  Kind = "partition_healed"
	ConnReplaced     Kind = "connection_replaced"
	OverloadStarted  Kind = "overload_started"
	OverloadFinished Kind = "overload_finished"
	LimitChanged     Kind = "limit_changed"

	AuthRefused Kind = "auth_refused"
	NodeStarted Kind = "node_started"
	NodeStopped Kind = "node_stopped"
)

// Event is one thing that happened at one process. Fields that don't apply
// are empty.
type Event struct {
	HLC HLC `json:"hlc"`
	// Node is filled in by Ring.Add when empty.
	Node      string `json:"node"`
	Kind      Kind   `json:"kind"`
	CallID    string `json:"call_id,omitempty"`
	RequestID string `json:"request_id,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	Service   string `json:"service,omitempty"`
	// Upstream is the node ID or address of the upstream concerned.
	Upstream string      `json:"upstream,omitempty"`
	Code     result.Code `json:"code,omitempty"`
	Detail   string      `json:"detail,omitempty"`
	// Cause is what a failed call comes down to, where a call made for it failed.
	Cause *result.Cause `json:"cause,omitempty"`
}

// Time is the physical time of the event, to the millisecond.
func (e *Event) Time() time.Time { return e.HLC.Time() }

// Filter picks events; an empty field accepts all.
type Filter struct {
	// CallID accepts the events of that call, and, where it names a root
	// request, those of every call made for it.
	CallID    string
	RequestID string
	Workspace string
	Upstream  string
	Kinds     []Kind
	// After accepts only later timestamps.
	After HLC
}

// Match reports whether e passes.
func (f *Filter) Match(e *Event) bool {
	return e.HLC > f.After &&
		(accepts(f.CallID, e.CallID) || f.CallID == e.RequestID) &&
		accepts(f.RequestID, e.RequestID) &&
		accepts(f.Workspace, e.Workspace) &&
		accepts(f.Upstream, e.Upstream) &&
		f.matchKind(e.Kind)
}

func (f *Filter) matchKind(k Kind) bool {
	if len(f.Kinds) == 0 {
		return true
	}
	for _, want := range f.Kinds {
		if want == k {
			return true
		}
	}
	return false
}

func accepts(want, got string) bool { return want == "" || want == got }
