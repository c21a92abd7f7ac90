package mesh

import (
	"math"
	"net/http"
	"time"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/quota"
	"github.com/galenagrade/galenagrade/internal/routes"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

// StatePath is the path of the node's state, on its metrics address.
const StatePath = "/state"

// NodeState is the state of a node: its view of the deployment and what is in force at it.
type NodeState struct {
	Node        string    `json:"node"`
	Incarnation uint64    `json:"incarnation"`
	Zone        string    `json:"zone"`
	Service     string    `json:"service"`
	Ready       bool      `json:"ready"`
	Stopping    bool      `json:"stopping"`
	Routes      Freshness `json:"routes"`
	Members     Freshness `json:"members"`
	Guard       Guard     `json:"guard"`
	// Config is nil until routes are in force.
	Config  *routes.Config `json:"config"`
	Records []MemberState  `json:"records"`
	// Quotas are the quotas of the workspaces that have one.
	Quotas []quota.State `json:"quotas,omitempty"`
	// Shares is nil while shares are off.
	Shares *SharesState `json:"shares,omitempty"`
	// Overview is what the node knows of all zones; nil if there is no recent view.
	Overview *OverviewState `json:"overview,omitempty"`
	// Zones are the decisions on the services that the zone calls.
	Zones []ServiceZones `json:"zones,omitempty"`
	Store StoreStats     `json:"store"`
}

// Freshness describes how current data from the store is.
type Freshness struct {
	Version int64 `json:"version,omitempty"`
	// AgeMillis is the time in milliseconds since the data was last known to be current;
	// negative if it was never read from the store.
	AgeMillis int64 `json:"age_ms"`
	// Lost reports whether the last read failed.
	Lost bool `json:"lost"`
	// Relay is the node of the zone that the data is read through; empty if the node reads the
	// store itself.
	Relay string `json:"through,omitempty"`
}

// Guard is the state of the guard of the local upstream.
type Guard struct {
	Serving    bool `json:"serving"`
	InFlight   int  `json:"in_flight"`
	Queued     int  `json:"queued"`
	Limit      int  `json:"limit"`
	Overloaded bool `json:"overloaded"`
	// RateLimit is the rate limit that the upstream names, in calls per second; omitted if it names none.
	RateLimit *float64 `json:"rate_limit,omitempty"`
	// UpstreamLeaves reports whether the upstream said in a response that it is leaving.
	UpstreamLeaves  bool  `json:"upstream_leaves,omitempty"`
	RetryBudgetLeft int64 `json:"repeats_left"`
}

// MemberState is a member as this node sees it.
type MemberState struct {
	fleet.Member
	// Unreachable reports whether recent calls to the member failed to reach it.
	Unreachable bool `json:"unreached"`
}

// stateHandler serves the metrics as text and the node's state as JSON.
func (m *Mesh) stateHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+StatePath, func(w http.ResponseWriter, _ *http.Request) { m.sendJSON(w, m.State()) })
	mux.Handle("/", m.metrics.TextHandler(m.refreshMetrics))
	return mux
}

// State returns the current state of the node.
func (m *Mesh) State() *NodeState {
	now := time.Now()
	s := &NodeState{
		Node: m.cfg.NodeID, Incarnation: m.node.Incarnation(), Zone: m.cfg.Zone, Service: m.cfg.Service,
		Ready: m.ready(), Stopping: m.stopping.Load(),
		Routes:  freshnessOf(m.routes.follower, now),
		Members: freshnessOf(m.membersFollower, now),
		Guard:   m.guardState(),
		Store:   m.platform.StoreStats(),
		Quotas:  m.quotas.states(),
		Shares:  m.shares.state(now),

		Overview: m.overview.state(now),
		Zones:    m.zoneBalance.state(),
	}
	s.Routes.Version = m.routes.Version()
	if t := m.proxy.Routes(); t != nil {
		s.Config = t.Config()
	}
	for _, record := range m.members.all() {
		s.Records = append(s.Records, MemberState{Member: record, Unreachable: m.unreachable(record.Node)})
	}
	return s
}

// Events returns the events of the node's timeline that pass the filter.
func (m *Mesh) Events(f timeline.Filter) []timeline.Event { return m.node.Ring().Events(f) }

func freshnessOf(f *follower, now time.Time) Freshness {
	return Freshness{AgeMillis: f.age(now).Milliseconds(), Lost: f.lost.Load(), Relay: f.relay.source()}
}

func (m *Mesh) guardState() Guard {
	guard := m.node.Guard()
	load := guard.Load()
	notice := guard.Notice()
	var rateLimit *float64
	if notice.RateLimited {
		rateLimit = &notice.RateLimit
	}
	return Guard{
		RateLimit: rateLimit, UpstreamLeaves: notice.Leaving,
		Serving: guard.Serving(), InFlight: load.InFlight, Queued: load.Queued, Limit: load.Limit, Overloaded: load.Overloaded,
		RetryBudgetLeft: int64(min(guard.RetryBudgetLeft(m.node.Now()), math.MaxInt32)),
	}
}

// refreshMetrics sets the gauges that are read from the node's state when metrics are served.
func (m *Mesh) refreshMetrics() {
	s := m.State()
	known, live := 0, 0
	for i := range s.Records {
		known++
		if s.Records[i].State == fleet.Serving && !s.Records[i].Unreachable {
			live++
		}
	}
	for gauge, value := range map[metrics.Gauge]int64{
		metrics.ConfigVersion:      s.Routes.Version,
		metrics.RoutesAgeMillis:    s.Routes.AgeMillis,
		metrics.MembersAgeMillis:   s.Members.AgeMillis,
		metrics.UpstreamsKnown:     int64(known),
		metrics.UpstreamsLive:      int64(live),
		metrics.IsDraining:         boolGauge(s.Stopping || !s.Guard.Serving),
		metrics.AdmissionLimit:     int64(s.Guard.Limit),
		metrics.UpstreamRateLimit:  m.node.Guard().Notice().RateLimitMilli(),
		metrics.RetryBudgetLeft:    s.Guard.RetryBudgetLeft,
		metrics.SharesDividing:     boolGauge(s.Shares != nil && s.Shares.Dividing),
		metrics.OverviewAgeMillis:  m.overview.ageMillis(),
		metrics.ZoneShareMilli:     int64(1000 * m.zoneBalance.highestShare()),
		metrics.CallsOtherZones:    m.node.Table().CallsAway(),
		metrics.StoreCalls:         s.Store.Calls,
		metrics.StoreFailures:      s.Store.Failures,
		metrics.StoreBytesSent:     s.Store.BytesSent,
		metrics.StoreBytesReceived: s.Store.BytesReceived,
	} {
		m.metrics.SetGauge(gauge, value)
	}
}

func boolGauge(on bool) int64 {
	if on {
		return 1
	}
	return 0
}
