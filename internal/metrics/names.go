package metrics

// Counter identifies a metric that only increases.
type Counter uint8

// The counters of a node.
const (
	CallsReceived Counter = iota
	CallsFromUpstream
	// CallsLocal and CallsForwarded count attempts sent to this node's own guard and to other nodes.
	CallsLocal
	CallsForwarded
	// CallsGuarded counts the admission decisions of this node's guard.
	CallsGuarded
	CallsRetried
	CallsReattached
	// CallsDuplicate counts transmissions that this node's guard refused because the call may have run
	// there before.
	CallsDuplicate
	// CallsJoined counts calls that wait for a running call with the same idempotency key.
	CallsJoined
	CallsCancelled
	// RetriesThrottled counts retries that the retry throttle rejected.
	RetriesThrottled
	UpstreamsEjected
	UpstreamCrashes
	ConnectionsReplaced
	ProbesFailed
	LogAppends
	LogAppendFailures
	LogReads
	LogReadFailures
	// LogAppendsSettled counts appends that failed with an unknown outcome: their records may be in
	// the log.
	LogAppendsSettled
	ControlExchanges
	ControlExchangeFailures
	// RecordsFolded counts the records of the log that this node applied.
	RecordsFolded
	Takeovers
	AuthorityLapses
	PromisesGiven
	PromisesRefused
	AuthRefused
	CrashRecordsGossiped
	// QuotaAsked counts quota tokens requested from other nodes; QuotaGranted counts tokens granted
	// to other nodes.
	QuotaAsked
	QuotaGranted
	// CallsHandedBack counts waiting calls that this node's guard handed back to their senders.
	// CallsReplaced counts calls of this node that were handed back and sent to another upstream,
	// and CallsReturned those sent to the same one again, because no other takes them.
	CallsHandedBack
	CallsReplaced
	CallsReturned
	// OverviewReports counts views received from the collector of the zone, OverviewReportFailures
	// reports that a collector did not answer, and OverviewZoneFailures failed exchanges of sums with
	// other zones.
	OverviewReports
	OverviewReportFailures
	OverviewZoneFailures
	// RoomAsked counts the requests for room for trees, RoomRefused the trees refused because there is
	// none, and RoomUnanswered the trees for which no guard answered.
	RoomAsked
	RoomRefused
	RoomUnanswered
	// RoomInvalid counts the requests for room of other nodes that are invalid.
	RoomInvalid
	// CallersLeft counts requests whose callers left before the response.
	CallersLeft
	// CallersPipelined counts requests during which their connection brought a further one.
	CallersPipelined
	// CallsOfCancelled counts calls of the upstream that were refused because the request for which it
	// made them was cancelled.
	CallsOfCancelled
	numCounters
)

var counterNames = [numCounters]string{
	CallsReceived:           "calls.received",
	CallsFromUpstream:       "calls.from_upstream",
	CallsLocal:              "calls.local",
	CallsForwarded:          "calls.forwarded",
	CallsGuarded:            "calls.guarded",
	CallsRetried:            "calls.retried",
	CallsReattached:         "calls.reattached",
	CallsDuplicate:          "calls.duplicates_refused",
	CallsJoined:             "calls.joined",
	CallsCancelled:          "calls.cancelled",
	RetriesThrottled:        "retry.throttled",
	UpstreamsEjected:        "routing.ejected",
	UpstreamCrashes:         "upstream.crashes",
	ConnectionsReplaced:     "connections.replaced",
	ProbesFailed:            "members.probes_failed",
	LogAppends:              "log.appends",
	LogAppendFailures:       "log.append_failures",
	LogReads:                "log.reads",
	LogReadFailures:         "log.read_failures",
	LogAppendsSettled:       "log.appends_settled",
	ControlExchanges:        "control.exchanges",
	ControlExchangeFailures: "control.exchange_failures",
	RecordsFolded:           "records.folded",
	Takeovers:               "lease.takeovers",
	AuthorityLapses:         "lease.authority_lapses",
	PromisesGiven:           "lease.promises_given",
	PromisesRefused:         "lease.promises_refused",
	AuthRefused:             "auth.refused",
	CrashRecordsGossiped:    "quarantine.suspects_spread",
	QuotaAsked:              "quota.asked",
	QuotaGranted:            "quota.granted",
	CallsHandedBack:         "handback.given",
	CallsReplaced:           "handback.placed",
	CallsReturned:           "handback.returned",
	OverviewReports:         "overview.reports",
	OverviewReportFailures:  "overview.report_failures",
	OverviewZoneFailures:    "overview.zone_failures",
	RoomAsked:               "room.asked",
	RoomRefused:             "room.refused",
	RoomUnanswered:          "room.unanswered",
	RoomInvalid:             "room.invalid",
	CallersLeft:             "callers.left",
	CallersPipelined:        "callers.pipelined",
	CallsOfCancelled:        "calls.of_cancelled",
}

// String returns the name in the JSON document.
func (c Counter) String() string { return counterNames[c] }

// Gauge identifies a metric that increases and decreases.
type Gauge uint8

// The gauges of a node.
const (
	AdmissionLimit Gauge = iota
	AdmissionThreshold
	ConfigVersion
	LogHeadAgeMillis
	LogOffset
	SlotsOwned
	AuthorityAgeMillis
	UpstreamsKnown
	UpstreamsLive
	// IsRelay is 1 while this node is the leader of its zone, which reads the log for the zone.
	IsRelay
	IsDraining
	// UpstreamRateLimit is the rate limit that the local upstream names, in calls per 1,000 seconds; -1
	// if it names none.
	UpstreamRateLimit
	// UpstreamSpeedPercent is the speed of the local upstream in percent of its service; 0 if unknown.
	UpstreamSpeedPercent
	RetryBudgetLeft
	RoutesAgeMillis
	MembersAgeMillis
	StoreCalls
	StoreFailures
	StoreBytesSent
	StoreBytesReceived
	// OverviewAgeMillis is the age of the view of all zones; -1 without one.
	OverviewAgeMillis
	// ZoneShareMilli is the highest share of the zone's calls to a service that goes to other zones, in
	// thousandths, and CallsOtherZones the number of calls that this node sent there for it.
	ZoneShareMilli
	CallsOtherZones
	// SharesDividing is 1 while requests are divided by the shares of their workspaces.
	SharesDividing
	// ShareOverridesIgnored is the number of overrides that name workspaces that the routes don't have.
	ShareOverridesIgnored
	// RoomPromised is the room promised to trees and not yet used, in slot-milliseconds.
	RoomPromised
	// RoomRatio is the ratio in force of the room promised to the room that there is, in thousandths.
	RoomRatio
	// RoomGrantedTotal and RoomRefusedTotal are the requests that the guard of the local upstream
	// decided since it started, and RoomUnused the grants whose trees never came.
	RoomGrantedTotal
	RoomRefusedTotal
	RoomUnused
	// RoomTight is 1 while the local service is scarce.
	RoomTight
	numGauges
)

var gaugeNames = [numGauges]string{
	AdmissionLimit:        "admission.limit",
	AdmissionThreshold:    "admission.threshold",
	ConfigVersion:         "config.version",
	LogHeadAgeMillis:      "log.head_age_ms",
	LogOffset:             "log.offset",
	SlotsOwned:            "lease.slots_owned",
	AuthorityAgeMillis:    "lease.authority_age_ms",
	UpstreamsKnown:        "members.upstreams_known",
	UpstreamsLive:         "members.upstreams_live",
	IsRelay:               "members.is_relay",
	IsDraining:            "node.is_draining",
	UpstreamRateLimit:     "upstream.rate_limit_milli",
	RetryBudgetLeft:       "retry.repeats_left",
	RoutesAgeMillis:       "store.routes_age_ms",
	MembersAgeMillis:      "store.members_age_ms",
	StoreCalls:            "store.calls",
	StoreFailures:         "store.failures",
	StoreBytesSent:        "store.bytes_sent",
	StoreBytesReceived:    "store.bytes_received",
	OverviewAgeMillis:     "overview.view_age_ms",
	ZoneShareMilli:        "zones.highest_share_milli",
	CallsOtherZones:       "zones.calls_to_others",
	SharesDividing:        "shares.dividing",
	ShareOverridesIgnored: "shares.overrides_ignored",
	RoomPromised:          "room.promised_slot_ms",
	RoomRatio:             "room.ratio_milli",
	RoomGrantedTotal:      "room.guard_granted",
	RoomRefusedTotal:      "room.guard_refused",
	RoomUnused:            "room.guard_unused",
	RoomTight:             "room.tight",
	UpstreamSpeedPercent:  "upstream.speed_percent",
}

// String returns the name in the JSON document.
func (g Gauge) String() string { return gaugeNames[g] }

// Bound identifies a queue, map or buffer with a limited size.
type Bound uint8

// The queues, maps and buffers of a node for which the metrics report size and limit.
const (
	BoundQueue Bound = iota
	BoundCallsInFlight
	BoundCallerConnections
	BoundPeerConnections
	BoundHeldBytes
	BoundAnswerBytes
	BoundAnswerKeys
	BoundTimeline
	BoundCrashRecords
	BoundMembers
	BoundAppends
	// BoundAccounts is the number of calls that this node's guard runs or queues.
	BoundAccounts
	// BoundFollowers is the number of open event streams.
	BoundFollowers
	numBounds
)

var boundNames = [numBounds]string{
	BoundQueue:             "admission.queue",
	BoundCallsInFlight:     "calls.in_flight",
	BoundCallerConnections: "connections.callers",
	BoundPeerConnections:   "connections.peers",
	BoundHeldBytes:         "bodies.held_bytes",
	BoundAnswerBytes:       "idempotency.answer_bytes",
	BoundAnswerKeys:        "idempotency.keys",
	BoundTimeline:          "timeline.events",
	BoundCrashRecords:      "quarantine.suspects",
	BoundMembers:           "members.held",
	BoundAppends:           "log.appends_waiting",
	BoundAccounts:          "retry.accounts",
	BoundFollowers:         "admin.followers",
}

// String returns the name in the JSON document, without the suffix .size, .limit or .turned_away.
func (b Bound) String() string { return boundNames[b] }

// Timer identifies a distribution of durations, in microseconds.
type Timer uint8

// The timers of a node.
const (
	// CallTime is the total duration of a call; AddedTime is the part of it outside of attempts.
	CallTime Timer = iota
	AddedTime
	QueueTime
	UpstreamTime
	// InnerTime is the duration of an attempt sent to another node.
	InnerTime
	LogAppendTime
	LogReadTime
	PublishTime
	numTimers
)

var timerNames = [numTimers]string{
	CallTime:      "calls.total_us",
	AddedTime:     "calls.added_us",
	QueueTime:     "admission.queue_us",
	UpstreamTime:  "upstream.time_us",
	InnerTime:     "calls.inner_us",
	LogAppendTime: "log.append_us",
	LogReadTime:   "log.read_us",
	PublishTime:   "config.publish_us",
}

// String returns the name in the JSON document.
func (t Timer) String() string { return timerNames[t] }

// onRequestPath marks the timers that record a sample. The other timers are updated rarely and
// record every value.
var onRequestPath = [numTimers]bool{
	CallTime: true, AddedTime: true, QueueTime: true, UpstreamTime: true, InnerTime: true,
}
