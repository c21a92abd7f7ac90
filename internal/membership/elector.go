package membership

import (
	"cmp"
	"fmt"
	"time"
)

// Elector elects the process that reads the log for its zone, called the leader here. Two leaders
// at once are harmless. A long time without a leader leaves the zone without recent observations
// of the log's head.
type Elector interface {
	// Tick must be called a few times per Interval. If self is the leader and a heartbeat is due,
	// it returns the heartbeat to send to every peer.
	Tick(now time.Time) (Heartbeat, bool)
	// OnHeartbeat handles a heartbeat of a peer.
	OnHeartbeat(now time.Time, hb Heartbeat)
	// Leader returns the leader known to self; false until the first one is known after a start.
	Leader() (Identity, bool)
}

// Heartbeat announces that its sender is the leader.
type Heartbeat struct {
	From Identity `json:"f"`
	// Rank is the value by which the strategy orders leaders: Unix nanoseconds of the sender's
	// clock, or 0. Clock skew may change which process is preferred, but the zone still settles on
	// one.
	Rank int64 `json:"r"`
}

// Strategy defines the order in which processes are preferred as leader.
type Strategy int

const (
	// Incumbent keeps the process that has been leader for the longest time; a restarted process
	// never replaces a live leader. If the leader stops, it is succeeded by the process that started
	// last among those with an uptime of at least ElectorConfig.Settled.
	Incumbent Strategy = iota
	// Oldest prefers the process with the longest uptime, after Martín and Larrea, "A simple and
	// communication-efficient Omega algorithm in the crash-recovery model", Information Processing
	// Letters 110 (2010).
	Oldest
	// LowestID prefers the process with the lowest identity.
	LowestID
)

var strategyNames = [...]string{"incumbent", "oldest", "lowest-id"}

// String returns the strategy's name.
func (s Strategy) String() string {
	if s < 0 || int(s) >= len(strategyNames) {
		return "invalid"
	}
	return strategyNames[s]
}

// ElectorConfig holds the strategy and the durations of an election.
type ElectorConfig struct {
	Strategy Strategy
	// Interval is the time between two heartbeats of a leader.
	Interval time.Duration
	// Timeout is the time without a heartbeat after which a leader is replaced. It grows by
	// Interval each time that self replaces a leader, so that a zone with slow links settles on
	// one leader.
	Timeout time.Duration
	// MaxTimeout limits the growth of Timeout.
	MaxTimeout time.Duration
	// Stagger is the delay between two successive candidates, so that after the end of a leader
	// one process becomes leader and not all of them at once.
	Stagger time.Duration
	// Settled is the uptime from which Incumbent prefers a process as candidate.
	Settled time.Duration
}

// DefaultElectorConfig returns values with which a zone has a new reader within about 4 s.
func DefaultElectorConfig() ElectorConfig {
	return ElectorConfig{
		Strategy:   Incumbent,
		Interval:   time.Second,
		Timeout:    3 * time.Second,
		MaxTimeout: 15 * time.Second,
		Stagger:    200 * time.Millisecond,
		Settled:    time.Minute,
	}
}

// Validate returns an error with the first field out of range, its value and the limit.
func (c ElectorConfig) Validate() error {
	switch {
	case c.Strategy < Incumbent || c.Strategy > LowestID:
		return fmt.Errorf("membership: Strategy = %d, must be from %d to %d", c.Strategy, Incumbent, LowestID)
	case c.Interval <= 0:
		return fmt.Errorf("membership: Interval = %v, must be above 0", c.Interval)
	case c.Timeout < 2*c.Interval:
		return fmt.Errorf("membership: Timeout = %v, must be at least twice Interval = %v", c.Timeout, c.Interval)
	case c.MaxTimeout < c.Timeout:
		return fmt.Errorf("membership: MaxTimeout = %v, must be at least Timeout = %v", c.MaxTimeout, c.Timeout)
	case c.Stagger <= 0:
		return fmt.Errorf("membership: Stagger = %v, must be above 0", c.Stagger)
	case c.Settled < 0:
		return fmt.Errorf("membership: Settled = %v, must be at least 0", c.Settled)
	}
	return nil
}

// Peer is a process of the zone that may become leader.
type Peer struct {
	ID      Identity
	Started time.Time
}

// Election is an Elector based on heartbeats. Only the leader sends them.
type Election struct {
	cfg           ElectorConfig
	self          Peer
	peers         []Peer
	hasLeader     bool // whether leader is set
	leader        Heartbeat
	timeout       time.Duration
	lastHeartbeat time.Time // of the leader; before the first one, the start of self
	lastSent      time.Time // own heartbeat; zero if one is due at once
}

// NewElection returns the election of a process that starts at now.
func NewElection(cfg ElectorConfig, self Peer, now time.Time) *Election {
	return &Election{cfg: cfg, self: self, timeout: cfg.Timeout, lastHeartbeat: now}
}

// SetPeers replaces the processes that may become leader; the list may include self. The list only
// decides how long self waits for other candidates (claimDelay), so a wrong list only delays the
// election.
func (e *Election) SetPeers(peers []Peer) { e.peers = peers }

// Leader implements Elector.
func (e *Election) Leader() (Identity, bool) { return e.leader.From, e.hasLeader }

// Tick implements Elector.
func (e *Election) Tick(now time.Time) (Heartbeat, bool) {
	if !e.isLeader() {
		if !e.leaderTimedOut(now) || now.Sub(e.lastHeartbeat) < e.timeout+e.claimDelay(now) {
			return Heartbeat{}, false
		}
		e.becomeLeader(now)
	}
	if !e.lastSent.IsZero() && now.Sub(e.lastSent) < e.cfg.Interval {
		return Heartbeat{}, false
	}
	e.lastSent = now
	return e.leader, true
}

func (e *Election) isLeader() bool { return e.hasLeader && e.leader.From == e.self.ID }

// becomeLeader makes self the leader after the heartbeats of the last leader have timed out.
func (e *Election) becomeLeader(now time.Time) {
	if e.hasLeader {
		e.timeout = min(e.timeout+e.cfg.Interval, e.cfg.MaxTimeout)
	}
	e.hasLeader = true
	e.leader = Heartbeat{From: e.self.ID, Rank: e.rank(now)}
	e.lastSent = time.Time{}
}

// rank returns the rank with which self becomes leader; a lower rank is preferred.
func (e *Election) rank(now time.Time) int64 {
	switch e.cfg.Strategy {
	case Oldest:
		return e.self.Started.UnixNano()
	case Incumbent:
		return now.UnixNano()
	default:
		return 0
	}
}

// OnHeartbeat implements Elector. Of two leaders, it keeps the preferred one.
func (e *Election) OnHeartbeat(now time.Time, hb Heartbeat) {
	if hb.From == e.self.ID {
		return
	}
	if e.hasLeader && !e.leaderTimedOut(now) && hb.From != e.leader.From && !e.better(hb, e.leader) {
		return
	}
	if !e.hasLeader && e.outranks(hb) {
		return
	}
	e.hasLeader = true
	e.leader = hb
	e.lastHeartbeat = now
}

// leaderTimedOut reports whether the leader's heartbeats have timed out. The next heartbeat of any
// process is then accepted, regardless of its rank.
func (e *Election) leaderTimedOut(now time.Time) bool {
	return !e.isLeader() && now.Sub(e.lastHeartbeat) >= e.timeout
}

// outranks reports whether a process that has just started waits to become leader itself instead
// of following the sender of hb. Without this check, the process with the lowest identity would
// briefly follow another leader.
func (e *Election) outranks(hb Heartbeat) bool {
	mine := Heartbeat{From: e.self.ID, Rank: 0}
	return e.cfg.Strategy == LowestID && e.better(mine, hb)
}

func (e *Election) better(a, b Heartbeat) bool {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), a.From.Compare(b.From)) < 0
}

// claimDelay returns how long self waits for preferred candidates to become leader first.
func (e *Election) claimDelay(now time.Time) time.Duration {
	n := 0
	for _, p := range e.peers {
		if p.ID != e.self.ID && p.ID != e.leader.From && e.claimsBefore(now, p, e.self) {
			n++
		}
	}
	return time.Duration(n) * e.cfg.Stagger
}

// claimsBefore reports whether a is preferred to b as the next leader.
func (e *Election) claimsBefore(now time.Time, a, b Peer) bool {
	byID := a.ID.Compare(b.ID) < 0
	switch e.cfg.Strategy {
	case LowestID:
		return byID
	case Oldest:
		return a.Started.Before(b.Started) || (a.Started.Equal(b.Started) && byID)
	}
	aSettled := now.Sub(a.Started) >= e.cfg.Settled
	bSettled := now.Sub(b.Started) >= e.cfg.Settled
	if aSettled != bSettled {
		return aSettled
	}
	return a.Started.After(b.Started) || (a.Started.Equal(b.Started) && byID)
}
