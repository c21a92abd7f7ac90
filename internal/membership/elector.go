package membership

import (
	"cmp"
	"fmt"
	"time"
)

// Elector chooses the process that reads the log for its zone. Two readers at
// once are harmless; none for long leaves the zone without fresh proofs.
type Elector interface {
	// Tick is called a few times in an Interval. It returns the heartbeat to
	// send to every peer, when self leads and one is due.
	Tick(now time.Time) (Heartbeat, bool)
	// OnHeartbeat takes a peer's heartbeat.
	OnHeartbeat(now time.Time, hb Heartbeat)
	// Leader is who leads as far as self knows; false right after a start.
	Leader() (Identity, bool)
}

// Heartbeat says that its sender leads.
type Heartbeat struct {
	From Identity `json:"f"`
	// Rank is what the strategy orders leaders by, in Unix nanoseconds of the
	// sender's clock; clock skew can only change who wins, not whether.
	Rank int64 `json:"r"`
}

// Strategy is the order among would-be leaders.
type Strategy int

const (
	// Incumbent lets the one that has led longest go on; a restart never
	// takes the lead away from a live process. The youngest settled process
	// succeeds it.
	Incumbent Strategy = iota
	// Oldest lets the process lead that has been up longest, after Martín
	// and Larrea, "A simple and communication-efficient Omega algorithm in
	// the crash-recovery model", Information Processing Letters 110 (2010).
	Oldest
	// LowestID lets the lowest identifier lead.
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

// ElectorConfig holds the times of an election.
type ElectorConfig struct {
	Strategy Strategy
	// Interval is the time between heartbeats of a leader.
	Interval time.Duration
	// Timeout is the silence after which a leader is given up. It grows by
	// Interval each time, so that slow links end up with one leader.
	Timeout time.Duration
	// MaxTimeout bounds that growth.
	MaxTimeout time.Duration
	// Stagger is the wait between two candidates, so that after a leader's
	// end one process claims the lead and not all of them at once.
	Stagger time.Duration
	// Settled is the uptime from which Incumbent prefers a candidate.
	Settled time.Duration
}

// DefaultElectorConfig gives a zone a new reader within about 4 s.
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

// Validate names the first field out of bounds, its value and the bound.
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

// Peer is a process of the zone that may lead.
type Peer struct {
	ID      Identity
	Started time.Time
}

// Election is an Elector over heartbeats. Only the leader sends.
type Election struct {
	cfg     ElectorConfig
	self    Peer
	peers   []Peer
	led     bool // whether leader is set
	leader  Heartbeat
	timeout time.Duration
	heard   time.Time // of the leader, or when waiting began
	sent    time.Time
}

// NewElection returns the election of a process that starts at now.
func NewElection(cfg ElectorConfig, self Peer, now time.Time) *Election {
	return &Election{cfg: cfg, self: self, timeout: cfg.Timeout, heard: now}
}

// SetPeers says who else may lead, self left out or not. It decides only who
// claims the lead first; a wrong list costs time.
func (e *Election) SetPeers(peers []Peer) { e.peers = peers }

// Leader implements Elector.
func (e *Election) Leader() (Identity, bool) { return e.leader.From, e.led }

// Tick implements Elector.
func (e *Election) Tick(now time.Time) (Heartbeat, bool) {
	if !e.leads() {
		if !e.silent(now) || now.Sub(e.heard) < e.timeout+e.delay(now) {
			return Heartbeat{}, false
		}
		e.claim(now)
	}
	if !e.sent.IsZero() && now.Sub(e.sent) < e.cfg.Interval {
		return Heartbeat{}, false
	}
	e.sent = now
	return e.leader, true
}

func (e *Election) leads() bool { return e.led && e.leader.From == e.self.ID }

// claim makes self the leader after the silence of the last one.
func (e *Election) claim(now time.Time) {
	if e.led {
		e.timeout = min(e.timeout+e.cfg.Interval, e.cfg.MaxTimeout)
	}
	e.led = true
	e.leader = Heartbeat{From: e.self.ID, Rank: e.rank(now)}
	e.sent = time.Time{}
}

// rank is what self claims the lead with; a lower one wins.
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

// OnHeartbeat implements Elector: the better of two leaders stays.
func (e *Election) OnHeartbeat(now time.Time, hb Heartbeat) {
	if hb.From == e.self.ID {
		return
	}
	if e.led && !e.silent(now) && hb.From != e.leader.From && !e.better(hb, e.leader) {
		return
	}
	if !e.led && e.outranks(hb) {
		return
	}
	e.led = true
	e.leader = hb
	e.heard = now
}

// silent reports whether the leader was not heard for too long; the next one
// to claim the lead is then followed, however late its rank.
func (e *Election) silent(now time.Time) bool {
	return !e.leads() && now.Sub(e.heard) >= e.timeout
}

// outranks reports whether a starting process waits to claim the lead itself
// rather than follow. It keeps a lower identifier from following for a moment.
func (e *Election) outranks(hb Heartbeat) bool {
	mine := Heartbeat{From: e.self.ID, Rank: 0}
	return e.cfg.Strategy == LowestID && e.better(mine, hb)
}

func (e *Election) better(a, b Heartbeat) bool {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), a.From.Compare(b.From)) < 0
}

// delay is how long self lets better candidates claim the lead first.
func (e *Election) delay(now time.Time) time.Duration {
	n := 0
	for _, p := range e.peers {
		if p.ID != e.self.ID && p.ID != e.leader.From && e.before(now, p, e.self) {
			n++
		}
	}
	return time.Duration(n) * e.cfg.Stagger
}

// before reports whether a should claim the lead before b.
func (e *Election) before(now time.Time, a, b Peer) bool {
	byID := a.ID.Compare(b.ID) < 0
	switch e.cfg.Strategy {
	case LowestID:
		return byID
	case Oldest:
		return a.Started.Before(b.Started) || (a.Started.Equal(b.Started) && byID)
	}
	as := now.Sub(a.Started) >= e.cfg.Settled
	bs := now.Sub(b.Started) >= e.cfg.Settled
	if as != bs {
		return as
	}
	return a.Started.After(b.Started) || (a.Started.Equal(b.Started) && byID)
}
