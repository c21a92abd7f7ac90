package control

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/galenagrade/galenagrade/internal/idempotency"
	"github.com/galenagrade/galenagrade/internal/lease"
	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/membership"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
)

// Ownership keeps who owns which idempotency keys: for the service of the
// local upstream as one who may own, for the others to find the owner. It does
// no I/O. Safe for concurrent use; none of its methods calls the guard.
type Ownership struct {
	cfg  lease.Config
	self membership.Identity
	addr string

	mu        sync.Mutex
	lessors   map[string]*lease.Lessor // by service
	local     string                   // service of the local upstream
	next      int64
	truncated bool
	// guards is the service of the last member with a name or an address.
	guards map[string]string
}

// NewOwnership returns the fold of nothing. All nodes must use the same cfg.
func NewOwnership(cfg lease.Config, id node.Identity) *Ownership {
	return &Ownership{
		cfg:     cfg,
		self:    membership.Identity{Node: id.Node, Incarnation: id.Incarnation},
		addr:    id.InnerAddr,
		lessors: make(map[string]*lease.Lessor),
		guards:  make(map[string]string),
	}
}

// SetLocal says which service the local upstream serves.
func (o *Ownership) SetLocal(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.local = service
	o.lessorLocked(service)
}

// Local returns the service of the local upstream; empty when there is none.
func (o *Ownership) Local() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.local
}

// SetResendHorizon raises the time in which callers of the local service may
// resend a key.
func (o *Ownership) SetResendHorizon(d time.Duration) {
	o.localLessor(func(l *lease.Lessor) { l.SetResendHorizon(d) })
}

// Truncated says that the log no longer held its first records when this fold
// began: owners may be recorded that were never read.
func (o *Ownership) Truncated() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.truncated = true
	for _, l := range o.lessors {
		l.Truncated()
	}
}

func (o *Ownership) lessorLocked(service string) *lease.Lessor {
	l, ok := o.lessors[service]
	if ok {
		return l
	}
	l = lease.NewLessor(o.cfg, lease.Options{Self: o.self, Addr: o.addr, Service: service})
	l.Advance(o.next)
	if o.truncated {
		l.Truncated()
	}
	o.lessors[service] = l
	return l
}

// Apply folds entries in log order; now is when they were read.
func (o *Ownership) Apply(now time.Time, entries []logstore.Entry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range entries {
		if e.Offset < o.next {
			continue
		}
		o.next = e.Offset + 1
		if e.Record.Kind == logstore.KindTakeover {
			o.takeoverLocked(now, e)
		} else if rec := memberRecord(e.Record); rec != nil {
			o.memberLocked(now, e.Offset, rec)
		}
	}
	for _, l := range o.lessors {
		l.Advance(o.next)
	}
}

func (o *Ownership) takeoverLocked(now time.Time, e logstore.Entry) {
	var t lease.Takeover
	if err := json.Unmarshal(e.Record.Body, &t); err != nil {
		return
	}
	o.lessorLocked(t.Service).Apply(now, e.Offset, t)
}

func (o *Ownership) memberLocked(now time.Time, offset int64, rec membership.Record) {
	if j, ok := rec.(membership.Join); ok && j.Member.Service != "" {
		o.lessorLocked(j.Member.Service)
	}
	switch r := rec.(type) {
	case membership.Join:
		m := r.Member
		for _, service := range o.concerned(m.Service, m.Node, m.InnerAddr) {
			o.lessorLocked(service).Joined(now, offset, m.Identity, m.InnerAddr, m.Service == service)
		}
		o.guards[m.Node] = m.Service
		o.guards[m.InnerAddr] = m.Service
	case membership.Leave:
		for _, service := range o.concerned(o.local, r.ID.Node, "") {
			o.lessorLocked(service).Left(offset, r.ID)
		}
	case membership.Evict:
		for _, service := range o.concerned(o.local, r.ID.Node, "") {
			o.lessorLocked(service).Evicted(now, offset, r.ID)
		}
	}
}

// concerned returns the services to which a member matters: its own, and those
// that the last holders of its name and its address were guards of. Every
// record shown to every service would make a starting node of the planned size
// fold 14,000 joins 1,700 times.
func (o *Ownership) concerned(own, node, addr string) []string {
	var services []string
	for _, service := range []string{own, o.guards[node], o.guards[addr]} {
		if service != "" && !slices.Contains(services, service) {
			services = append(services, service)
		}
	}
	return services
}

// ObserveHead takes a head of the log: at some time after t0, on the local clock, no
// record at or beyond head existed.
func (o *Ownership) ObserveHead(t0 time.Time, head int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, l := range o.lessors {
		l.ObserveHead(t0, head)
	}
}

// Owner returns the inner address of the guard that owns a key's slot; empty
// when none is known.
func (o *Ownership) Owner(service string, keyHash uint64) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	l, ok := o.lessors[service]
	if !ok {
		return ""
	}
	_, addr, _ := l.Owner(keyHash)
	return addr
}

// MayStart decides whether a keyed call may start at this guard now, and until
// when it must have been dispatched.
func (o *Ownership) MayStart(now time.Time, call *node.Call) (time.Time, *result.Refusal) {
	issued := call.Ctx.KeyIssued
	if issued.IsZero() {
		issued, _ = idempotency.IssuedAt(call.Ctx.Key)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	l, ok := o.lessors[call.Ctx.Service]
	if !ok || call.Ctx.Service != o.local {
		return time.Time{}, result.Refuse(result.NoAuthority, "this guard does not serve %s", call.Ctx.Service)
	}
	a := l.MayStart(now, call.IdempotencyKey().Hash(), issued)
	return a.Deadline, a.Refusal
}

// Settled reports whether every slot of the local service has an owner, and
// this guard could start calls in its own.
func (o *Ownership) Settled(now time.Time) (settled bool) {
	o.localLessor(func(l *lease.Lessor) {
		settled = true
		for i := range o.cfg.Slots {
			a := l.MayStart(now, uint64(i), now)
			owned := a.OK || a.Refusal.Code == result.OwnedElsewhere
			settled = settled && owned
		}
	})
	return settled
}

// Holds returns how many slots the log gives to this guard, handed over or not.
func (o *Ownership) Holds() (n int) {
	o.localLessor(func(l *lease.Lessor) {
		for _, s := range l.State().Slots {
			if s.Owner == o.self {
				n++
			}
		}
	})
	return n
}

// localLessor runs f on the state of the local upstream's service.
func (o *Ownership) localLessor(f func(l *lease.Lessor)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if l, ok := o.lessors[o.local]; ok && o.local != "" {
		f(l)
	}
}

// Plan returns what is due; see lease.Lessor.Plan.
func (o *Ownership) Plan(now time.Time, live []membership.Identity) (actions []lease.Action) {
	o.localLessor(func(l *lease.Lessor) { actions = l.Plan(now, live) })
	return actions
}

// StopPlan returns the moves of a planned stop.
func (o *Ownership) StopPlan(live []membership.Identity) (moves []lease.MoveSlots) {
	o.localLessor(func(l *lease.Lessor) { moves = l.StopPlan(live) })
	return moves
}

// Eligible reports whether this guard may take slots that had an owner.
func (o *Ownership) Eligible(now time.Time) (ok bool) {
	o.localLessor(func(l *lease.Lessor) { ok = l.Eligible(now) })
	return ok
}

// Head returns the newest log head that this guard has proof of.
func (o *Ownership) Head() (head int64, proven bool) {
	o.localLessor(func(l *lease.Lessor) { head, proven = l.Head() })
	return head, proven
}

// ObservePeerHead takes another guard's word on its newest head.
func (o *Ownership) ObservePeerHead(from membership.Identity, head int64) {
	o.localLessor(func(l *lease.Lessor) { l.ObservePeerHead(from, head) })
}

// Promised takes a promise that was asked for at t0.
func (o *Ownership) Promised(t0 time.Time, from membership.Identity, addr string) {
	o.localLessor(func(l *lease.Lessor) { l.Promise(t0, from, addr) })
}

// Promise answers another guard's wish that this one takes no slots for now.
func (o *Ownership) Promise(now time.Time, service string, from membership.Identity, slots []int) (granted bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	l, ok := o.lessors[service]
	if !ok {
		return false
	}
	return l.OnPromiseRequest(now, from, slots)
}

// NotAppended says that a takeover never reaches the log.
func (o *Ownership) NotAppended(t lease.Takeover) {
	o.localLessor(func(l *lease.Lessor) { l.NotAppended(t) })
}

// Release stops starting calls in slots that move to the guard at addr.
func (o *Ownership) Release(now time.Time, addr string, slots []int) (h lease.HandOver) {
	o.localLessor(func(l *lease.Lessor) { h = l.Release(now, addr, slots) })
	return h
}

// Reclaim takes back what the receiver did not take.
func (o *Ownership) Reclaim(now time.Time) (t lease.AppendTakeover, ok bool) {
	o.localLessor(func(l *lease.Lessor) { t, ok = l.Reclaim(now) })
	return t, ok
}

// Imported notes that this guard holds the memory of the slots.
func (o *Ownership) Imported(now time.Time, h lease.HandOver) (ok bool) {
	o.localLessor(func(l *lease.Lessor) { ok = l.ImportedHandOver(now, h) })
	return ok
}

// InSlots returns the predicate of keys that lie in the slots of the local
// service.
func (o *Ownership) InSlots(slots []int) func(idempotency.Key) bool {
	in := make(map[int]bool, len(slots))
	for _, i := range slots {
		in[i] = true
	}
	service := o.Local()
	n := uint64(o.cfg.Slots)
	return func(k idempotency.Key) bool {
		return k.Service == service && in[int(k.Hash()%n)]
	}
}
