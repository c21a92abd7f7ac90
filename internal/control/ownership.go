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

// Ownership folds the owners of idempotency keys from the log. For the service of the local
// upstream this guard may itself become an owner; for other services it only looks up the
// owner. It does no I/O. It is safe for concurrent use; none of its methods calls the guard.
type Ownership struct {
	cfg  lease.Config
	self membership.Identity
	addr string

	mu        sync.Mutex
	lessors   map[string]*lease.Lessor // by service
	local     string                   // service of the local upstream
	next      int64                    // offset of the next entry to fold
	truncated bool                     // entries expired before they were folded
	// lastService maps each node name and each inner address to the service of the last member
	// that joined with this name or address.
	lastService map[string]string
}

// NewOwnership returns an Ownership that has folded no entry of the log yet. All nodes must use
// the same cfg.
func NewOwnership(cfg lease.Config, id node.Identity) *Ownership {
	return &Ownership{
		cfg:         cfg,
		self:        membership.Identity{Node: id.Node, Incarnation: id.Incarnation},
		addr:        id.InnerAddr,
		lessors:     make(map[string]*lease.Lessor),
		lastService: make(map[string]string),
	}
}

// SetLocal sets the service of the local upstream.
func (o *Ownership) SetLocal(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.local = service
	o.lessorLocked(service)
}

// Local returns the service of the local upstream; empty if there is none.
func (o *Ownership) Local() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.local
}

// SetResendHorizon raises the time during which callers of the local service may resend a key.
func (o *Ownership) SetResendHorizon(d time.Duration) {
	o.withLocalLessor(func(l *lease.Lessor) { l.SetResendHorizon(d) })
}

// Truncated records that entries of the log expired before this node folded them, so that it
// may not know some owners.
func (o *Ownership) Truncated() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.truncated = true
	for _, l := range o.lessors {
		l.Truncated()
	}
}

// lessorLocked returns the Lessor of a service and creates it if necessary.
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

// Apply folds entries in log order; now is the time at which they were read.
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
	if err := json.Unmarshal(e.Record.Body, &t); err != nil || t.Validate(e.Offset) != nil {
		return
	}
	o.lessorLocked(t.Service).ApplyTakeover(now, e.Offset, t)
}

func (o *Ownership) memberLocked(now time.Time, offset int64, rec membership.Record) {
	if j, ok := rec.(membership.Join); ok && j.Member.Service != "" {
		o.lessorLocked(j.Member.Service)
	}
	switch r := rec.(type) {
	case membership.Join:
		m := r.Member
		for _, service := range o.affectedServices(m.Service, m.Node, m.InnerAddr) {
			o.lessorLocked(service).ApplyJoin(now, offset, m.Identity, m.InnerAddr, m.Service == service)
		}
		o.lastService[m.Node] = m.Service
		o.lastService[m.InnerAddr] = m.Service
	case membership.Leave:
		for _, service := range o.affectedServices(o.local, r.ID.Node, "") {
			o.lessorLocked(service).ApplyLeave(offset, r.ID)
		}
	case membership.Evict:
		for _, service := range o.affectedServices(o.local, r.ID.Node, "") {
			o.lessorLocked(service).ApplyEvict(now, offset, r.ID)
		}
	}
}

// affectedServices returns the services whose state depends on a member record: the member's
// own service, and the services of the last members with the same name or address. If every
// record were passed to every service, a node starting in a deployment of the planned size
// would fold 14,000 joins 1,700 times.
func (o *Ownership) affectedServices(own, node, addr string) []string {
	var services []string
	for _, service := range []string{own, o.lastService[node], o.lastService[addr]} {
		if service != "" && !slices.Contains(services, service) {
			services = append(services, service)
		}
	}
	return services
}

// ObserveHead applies an observation of the log's head: at some time after readAt, on the local
// clock, no record at or beyond head existed.
func (o *Ownership) ObserveHead(readAt time.Time, head int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, l := range o.lessors {
		l.ObserveHead(readAt, head)
	}
}

// Owner returns the inner address of the guard that owns the slot of a key; empty if no owner
// is known.
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

// MayStart decides whether a keyed call may start at this guard now. It returns the deadline by
// which the call must be dispatched, or a refusal.
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

// Settled reports whether every slot of the local service has an owner and this guard can start
// calls in the slots that it owns.
func (o *Ownership) Settled(now time.Time) (settled bool) {
	o.withLocalLessor(func(l *lease.Lessor) {
		settled = true
		for i := range o.cfg.Slots {
			a := l.MayStart(now, uint64(i), now)
			hasOwner := a.OK || a.Refusal.Code == result.OwnedElsewhere
			settled = settled && hasOwner
		}
	})
	return settled
}

// OwnedSlots returns the number of slots that this guard owns according to the log, including those
// that it has released for a hand-over.
func (o *Ownership) OwnedSlots() (n int) {
	o.withLocalLessor(func(l *lease.Lessor) {
		for _, s := range l.State().Slots {
			if s.Owner == o.self {
				n++
			}
		}
	})
	return n
}

// withLocalLessor calls f with the Lessor of the local upstream's service, if there is one.
func (o *Ownership) withLocalLessor(f func(l *lease.Lessor)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if l, ok := o.lessors[o.local]; ok && o.local != "" {
		f(l)
	}
}

// Plan returns the actions that are due; see lease.Lessor.Plan.
func (o *Ownership) Plan(now time.Time, live []membership.Identity) (actions []lease.Action) {
	o.withLocalLessor(func(l *lease.Lessor) { actions = l.Plan(now, live) })
	return actions
}

// StopPlan returns the slot moves of a planned stop; see lease.Lessor.StopPlan.
func (o *Ownership) StopPlan(live []membership.Identity) (moves []lease.MoveSlots) {
	o.withLocalLessor(func(l *lease.Lessor) { moves = l.StopPlan(live) })
	return moves
}

// Eligible reports whether this guard may take over slots that have had an owner.
func (o *Ownership) Eligible(now time.Time) (ok bool) {
	o.withLocalLessor(func(l *lease.Lessor) { ok = l.Eligible(now) })
	return ok
}

// Head returns the newest log head that this guard has observed; observed is false if there is
// none.
func (o *Ownership) Head() (head int64, observed bool) {
	o.withLocalLessor(func(l *lease.Lessor) { head, observed = l.Head() })
	return head, observed
}

// ObservePeerHead applies the newest log head that another guard reports to have observed.
func (o *Ownership) ObservePeerHead(from membership.Identity, head int64) {
	o.withLocalLessor(func(l *lease.Lessor) { l.ObservePeerHead(from, head) })
}

// OnPromise applies the promise of another guard that was requested at requestedAt.
func (o *Ownership) OnPromise(requestedAt time.Time, from membership.Identity, addr string) {
	o.withLocalLessor(func(l *lease.Lessor) { l.Promise(requestedAt, from, addr) })
}

// OnPromiseRequest handles a request of another guard, which asks this one to promise that it
// takes over none of the slots for a limited time; see lease.Lessor.OnPromiseRequest. It reports
// whether this guard has promised.
func (o *Ownership) OnPromiseRequest(now time.Time, service string, from membership.Identity, slots []int) (granted bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	l, ok := o.lessors[service]
	if !ok {
		return false
	}
	return l.OnPromiseRequest(now, from, slots)
}

// NotAppended records that a takeover will definitely not reach the log.
func (o *Ownership) NotAppended(t lease.Takeover) {
	o.withLocalLessor(func(l *lease.Lessor) { l.NotAppended(t) })
}

// Release stops starting calls in the slots, which move to the guard at addr, and returns the
// hand-over for that guard.
func (o *Ownership) Release(now time.Time, addr string, slots []int) (h lease.HandOver) {
	o.withLocalLessor(func(l *lease.Lessor) { h = l.Release(now, addr, slots) })
	return h
}

// Reclaim returns the takeover record that takes back the released slots that the receiver has
// not taken over.
func (o *Ownership) Reclaim(now time.Time) (t lease.AppendTakeover, ok bool) {
	o.withLocalLessor(func(l *lease.Lessor) { t, ok = l.Reclaim(now) })
	return t, ok
}

// ImportedHandOver records that this guard has imported the keys of the slots in h. It reports
// whether the guard can take over the slots.
func (o *Ownership) ImportedHandOver(now time.Time, h lease.HandOver) (ok bool) {
	o.withLocalLessor(func(l *lease.Lessor) { ok = l.ImportedHandOver(now, h) })
	return ok
}

// InSlots returns a predicate that reports whether a key belongs to one of the slots of the
// local service.
func (o *Ownership) InSlots(slots []int) func(idempotency.Key) bool {
	inSlots := make(map[int]bool, len(slots))
	for _, i := range slots {
		inSlots[i] = true
	}
	service := o.Local()
	n := uint64(o.cfg.Slots)
	return func(k idempotency.Key) bool {
		return k.Service == service && inSlots[int(k.Hash()%n)]
	}
}
