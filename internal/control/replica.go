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
	// claimHorizon is how long a claim is kept: the longest resend horizon of callers.
	claimHorizon = 10 * time.Minute
	// maxClaims limits the claims of one service in memory, at 64 bytes each.
	maxClaims = 200_000
	// dedupWindow is the number of offsets within which a copy of a record is recognized. It
	// must cover the records that all nodes append while one of them retries a record; see
	// logstore.Dedup.
	dedupWindow = 20_000
)

// Replica is a node's fold over the log: configuration, members and claims. It is a pure state
// machine. It is not safe for concurrent use; the states that it returns are immutable.
//
// It keeps two offsets. Configuration and members can be adopted from a peer, so their offset
// can skip records. Decisions that depend on single records, such as claims, require every
// record: their offset skips only records that have expired in the log.
type Replica struct {
	next           int64 // next offset of configuration and members
	nextContiguous int64 // next offset of claims
	dedup          *logstore.Dedup
	policy         *policy.Replica
	members        *membership.View
	claims         *idempotency.Claims
}

// NewReplica returns a replica that has folded no record of the log yet.
func NewReplica() *Replica {
	return &Replica{
		dedup:   logstore.NewDedup(dedupWindow),
		policy:  policy.NewReplica(nil),
		members: &membership.View{},
		claims:  idempotency.NewClaims(claimHorizon, maxClaims),
	}
}

// Next returns the offset of the next record for configuration and members.
func (r *Replica) Next() int64 { return min(r.next, r.policy.Next()) }

// NextContiguous returns the offset of the next record for claims. Every record below it was
// folded or has expired.
func (r *Replica) NextContiguous() int64 { return r.nextContiguous }

// Behind reports whether the configuration lacks records that have expired in the log.
func (r *Replica) Behind() bool { return r.policy.Behind() }

// Policy returns the configuration folded so far.
func (r *Replica) Policy() *policy.State { return r.policy.State() }

// Members returns the members folded so far.
func (r *Replica) Members() *membership.View { return r.members }

// SnapshotDue reports whether rule requires a new snapshot of the configuration; oldest is the
// first offset of the log that has not expired.
func (r *Replica) SnapshotDue(rule *policy.SnapshotRule, now time.Time, oldest int64) bool {
	return r.policy.SnapshotDue(rule, now, oldest)
}

// Take folds a page and returns its entries from NextContiguous on, up to the first gap. A
// record whose body cannot be decoded is skipped, by every replica in the same way.
func (r *Replica) Take(now time.Time, page logstore.Page) []logstore.Entry {
	r.policy.Take(page)
	r.applyMembers(page.Entries)
	var contiguousEntries []logstore.Entry
	for _, e := range page.Entries {
		if e.Offset != r.nextContiguous {
			continue
		}
		r.nextContiguous++
		if e.Record.Kind == logstore.KindClaim {
			r.applyClaim(now, e)
		}
		contiguousEntries = append(contiguousEntries, e)
	}
	return contiguousEntries
}

// applyMembers folds the membership records among entries.
func (r *Replica) applyMembers(entries []logstore.Entry) {
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

// Truncated skips the offsets below oldest, which have expired in the log. It reports whether
// this replica has not folded some of the expired records.
func (r *Replica) Truncated(oldest int64) (missed bool) {
	r.policy.Truncated(oldest)
	r.next = max(r.next, oldest)
	missed = r.nextContiguous < oldest
	r.nextContiguous = max(r.nextContiguous, oldest)
	return missed
}

// Adopt merges the configuration and members of a peer, which has folded them up to next. It
// returns false and changes nothing unless next is beyond Next. It never reverts to an older
// configuration or view of the members.
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

// memberRecord decodes a membership record; nil for other kinds, undecodable bodies and fields out of bounds.
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

// validatedRecord is a membership record that checks its fields.
type validatedRecord interface {
	membership.Record
	Validate() error
}

func decodeMember[T validatedRecord](rec logstore.Record) membership.Record {
	var body T
	if err := json.Unmarshal(rec.Body, &body); err != nil || body.Validate() != nil {
		return nil
	}
	return body
}

// endpointOf converts a member to an endpoint for routing.
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

// Endpoints returns the endpoints of the members that serve a service, except those for which
// skip returns true.
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

// Claim returns the claim that won the key with the given hash; false if there is none.
func (r *Replica) Claim(keyHash uint64) (idempotency.Claim, bool) {
	return r.claims.Winner(keyHash)
}
