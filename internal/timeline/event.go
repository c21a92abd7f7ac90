package timeline

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
)

// Kind is the type of an event.
type Kind string

// The kinds of events. The values are part of the output of `galenactl timeline`.
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
	// UpstreamNotice is a change of what the local upstream says about itself in its responses.
	UpstreamNotice Kind = "upstream_notice"
	DrainStarted   Kind = "drain_started"
	DrainFinished  Kind = "drain_finished"

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
	ScarcityStarted  Kind = "scarcity_started"
	ScarcityFinished Kind = "scarcity_finished"
	RoomGranted      Kind = "room_granted"
	OverloadFinished Kind = "overload_finished"
	LimitChanged     Kind = "limit_changed"

	AuthRefused Kind = "auth_refused"
	NodeStarted Kind = "node_started"
	NodeStopped Kind = "node_stopped"
)

// Event is one occurrence in one process. Fields that don't apply are empty.
type Event struct {
	// HLC is the timestamp of the event. Ring.Add and Ring.Put set it.
	HLC HLC `json:"hlc"`
	// Node is the ID of the node. Ring.Add and Ring.Put set it if it is empty.
	Node string `json:"node"`
	Kind Kind   `json:"kind"`
	// CallID is the ID of the call, and RequestID the ID of the request that it belongs to.
	CallID    string `json:"call_id,omitempty"`
	RequestID string `json:"request_id,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	Service   string `json:"service,omitempty"`
	// Upstream is the node ID or address of the upstream that the event is about.
	Upstream string `json:"upstream,omitempty"`
	// Code is the result code of the call, or 0.
	Code result.Code `json:"code,omitempty"`
	// Detail is free text for a reader.
	Detail string `json:"detail,omitempty"`
	// Cause is the root cause of a failed call: the failure of a call further down its call tree.
	// Nil if no such call failed.
	Cause *result.Cause `json:"cause,omitempty"`
}

// Time returns the physical time of the event, with millisecond precision.
func (e *Event) Time() time.Time { return e.HLC.Time() }

// Filter selects events. An empty field matches all events.
type Filter struct {
	// CallID matches the events of that call and, if it is the ID of a root request, the events of
	// every call in its call tree.
	CallID    string
	RequestID string
	Workspace string
	Upstream  string
	Kinds     []Kind
	// After matches only events with a later timestamp.
	After HLC
}

// Match reports whether e satisfies all conditions of the filter.
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
