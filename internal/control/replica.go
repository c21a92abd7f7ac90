package control

import (
	"encoding/json"
	"time"

	"github.com/galenagrade/galenagrade/internal/idempotency"
	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/membership"
	"github.com/galenagrade/galenagrade/internal/policy"
	"github.com/galenagrade/galenagrade/internal/routing"
)

const (
	// claimHorizon is how long a claim is remembered: callers' longest resend
	// horizon.
	claimHorizon = 10 * time.Minute
	// maxClaims bounds the claims of one service in memory, at 64 bytes each.
	maxClaims = 200_000
	// dedupWindow is how many offsets back a repeated record is recognised. It must
	// hold what all nodes append while one of them repeats a record; see logstore.Dedup.
	dedupWindow = 20_000
)

// Replica is a node's fold over the log: configuration, members, claims. It is
// a pure state machine. Not safe for concurrent use; the states it returns are
// immutable.
//
// It has two places in the log. Configuration and members may be taken over
// from a peer, so their place may jump. Whoever decides from single records,
// such as claims, must have seen every one of them: that place never jumps but
// over what the log itself has dropped.
type Replica struct {
	next    int64
	strict  int64
	dedup   *logstore.Dedup
	policy  *policy.Replica
	members *membership.View
	claims  *idempotency.Claims
}

// NewReplica returns the fold of nothing.
func NewReplica() *Replica {
	return &Replica{
		dedup:   logstore.NewDedup(dedupWindow),
		policy:  policy.NewReplica(nil),
		members: &membership.View{},
		claims:  idempotency.NewClaims(claimHorizon, maxClaims),
	}
}

// Next returns the offset from which configuration and members go on.
func (r *Replica) Next() int64 { return min(r.next, r.policy.Next()) }

// Strict returns the offset up to which every record was seen.
func (r *Replica) Strict() int64 { return r.strict }

// Behind reports whether configuration lacks records that the log has dropped.
func (r *Replica) Behind() bool { return r.policy.Behind() }

// Policy returns the configuration folded so far.
func (r *Replica) Policy() *policy.State { return r.policy.State() }

// Members returns the members folded so far.
func (r *Replica) Members() *membership.View { return r.members }

// SnapshotDue reports whether the configuration should be written again.
func (r *Replica) SnapshotDue(rule *policy.SnapshotRule, now time.Time, oldest int64) bool {
	return r.policy.SnapshotDue(rule, now, oldest)
}

// Take folds a page in log order and returns the entries that continue what
// was seen without a gap. A record whose body cannot be read is skipped by
// every replica alike.
func (r *Replica) Take(now time.Time, page logstore.Page) []logstore.Entry {
	r.policy.Take(page)
	r.takeMembers(page.Entries)
	var seen []logstore.Entry
	for _, e := range page.Entries {
		if e.Offset != r.strict {
			continue
		}
		r.strict++
		if e.Record.Kind == logstore.KindClaim {
			r.applyClaim(now, e)
		}
		seen = append(seen, e)
	}
	return seen
}

func (r *Replica) takeMembers(entries []logstore.Entry) {
	var members []membership.Entry
	for _, e := range entries {
		if e.Offset < r.next {
			continue
		}
		r.next = e.Offset + 1
		if !r.dedup.Fresh(e) {
			continue
		}
		if rec := memberRecord(e.Record); rec != nil {
			members = append(members, membership.Entry{Offset: e.Offset, Record: rec})
		}
	}
	if len(members) > 0 {
		r.members = r.members.ApplyAll(members)
	}
}

// Truncated is told that the log has dropped everything below oldest. It
// reports whether records were dropped that this fold never saw.
func (r *Replica) Truncated(oldest int64) (missed bool) {
	r.policy.Truncated(oldest)
	r.next = max(r.next, oldest)
	missed = r.strict < oldest
	r.strict = max(r.strict, oldest)
	return missed
}

// Adopt takes a peer's configuration and members, folded up to next, where
// they are newer. It never takes back what was accepted.
func (r *Replica) Adopt(p *policy.State, v *membership.View, next int64) bool {
	if next <= r.Next() {
		return false
	}
	r.policy.Merge(p)
	if v.Version() > r.members.Version() {
		r.members = v
	}
	r.next = max(r.next, next)
	return true
}

func (r *Replica) applyClaim(now time.Time, e logstore.Entry) {
	var c idempotency.Claim
	if err := json.Unmarshal(e.Record.Body, &c); err != nil {
		return
	}
	r.claims.Apply(e.Offset, now, c)
}

func memberRecord(rec logstore.Record) membership.Record {
	switch rec.Kind {
	case logstore.KindJoin:
		return decodeMember[membership.Join](rec)
	case logstore.KindLeave:
		return decodeMember[membership.Leave](rec)
	case logstore.KindEvict:
		return decodeMember[membership.Evict](rec)
	}
	return nil
}

func decodeMember[T membership.Record](rec logstore.Record) membership.Record {
	var body T
	if err := json.Unmarshal(rec.Body, &body); err != nil {
		return nil
	}
	return body
}

// endpointOf turns a member into what routing chooses from.
func endpointOf(m membership.Member) routing.Endpoint {
	return routing.Endpoint{
		Node:        m.Node,
		Incarnation: m.Incarnation,
		Region:      m.Region,
		Zone:        m.Zone,
		Service:     m.Service,
		Addr:        m.InnerAddr,
		Slots:       m.Slots,
		Joined:      m.JoinedAt,
		Draining:    m.Draining,
	}
}

// Endpoints returns what calls can be routed to, without those that skip says.
func Endpoints(v *membership.View, skip func(membership.Identity) bool) []routing.Endpoint {
	var endpoints []routing.Endpoint
	for _, m := range v.Members() {
		if m.Service == "" || skip(m.Identity) {
			continue
		}
		endpoints = append(endpoints, endpointOf(m))
	}
	return endpoints
}

// Claim returns the claim that holds a key.
func (r *Replica) Claim(keyHash uint64) (idempotency.Claim, bool) {
	return r.claims.Holder(keyHash)
}
