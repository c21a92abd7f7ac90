package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/membership"
)

// chooser makes the choices of a simulated run. It is rapid or a seeded source.
type chooser interface {
	intn(n int, label string) int
}

// seededChooser draws the choices of a simulated run from a seeded source.
type seededChooser struct{ *rand.Rand }

func (s seededChooser) intn(n int, _ string) int { return s.IntN(n) }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func simConfig() Config {
	return Config{
		Slots:          2,
		Validity:       time.Second,
		Drift:          0.02,
		SkewBound:      2 * time.Second,
		ResendHorizon:  6 * time.Second,
		PromiseLimit:   5 * time.Second,
		Refresh:        4 * time.Second,
		RebalanceEvery: time.Second,
	}
}

// allowedCall is a call that was allowed to start and has not been sent yet.
type allowedCall struct {
	key      int
	deadline time.Time
}

// process is one incarnation of a guard on one VM. Its clock has its own rate and offset. memory
// holds the keys that it has started or imported.
type process struct {
	id                     Identity
	addr                   string
	l                      *Lessor
	rate                   float64
	skew                   time.Duration
	paused, logUnreachable bool
	memory                 map[int]bool
	allowed                []allowedCall
}

type simKey struct {
	issuedAt    time.Time // on the caller's clock; zero if the key has no time
	firstSentAt time.Duration
	startedBy   []string
}

// world simulates a service of a few guards and one log. now is the simulated real time. inFlight
// holds the messages in transit; they arrive late, out of order or never.
type world struct {
	choose          chooser
	cfg             Config
	now             time.Duration
	log             []any
	processes       []*process // one for each VM
	inFlight        []func()
	keys            []*simKey
	lastIncarnation uint64
	logDown         bool // the log is unavailable to all processes
	// instantDetection makes each process report a paused one as not live at once.
	instantDetection bool
	err              error
	coverage         map[string]int // counts the events that a run must reach to be meaningful
}

func newWorld(choose chooser, cfg Config, vms int) *world {
	w := &world{choose: choose, cfg: cfg, coverage: map[string]int{}}
	for i := range vms {
		w.processes = append(w.processes, w.boot(fmt.Sprintf("vm%d", i)))
	}
	return w
}

func (w *world) boot(addr string) *process {
	w.lastIncarnation++
	p := &process{
		id:     Identity{Node: addr, Incarnation: w.lastIncarnation},
		addr:   addr,
		rate:   1 + float64(w.choose.intn(17, "rate")-8)/1000,
		skew:   w.skew(),
		memory: map[int]bool{},
	}
	p.l = NewLessor(w.cfg, Options{Self: p.id, Addr: addr})
	w.sendAppend(membership.Join{Member: membership.Member{Identity: p.id, InnerAddr: addr}})
	return p
}

// skew returns a clock offset. Any two clocks are less than SkewBound apart at first; a simulated
// run is too short for drift to use up the rest.
func (w *world) skew() time.Duration {
	half := int(w.cfg.SkewBound/time.Millisecond) * 45 / 100
	return time.Duration(w.choose.intn(2*half+1, "skew")-half) * time.Millisecond
}

func (w *world) local(p *process) time.Time {
	return epoch.Add(p.skew + time.Duration(float64(w.now)*p.rate))
}

func (w *world) deliverLater(f func()) { w.inFlight = append(w.inFlight, f) }

// sendAppend sends an append to the log. It is delivered even if its sender has stopped by then.
func (w *world) sendAppend(rec any) { w.deliverLater(func() { w.append(rec) }) }

func (w *world) append(rec any) {
	if w.logDown {
		w.sendAppend(rec)
		return
	}
	w.log = append(w.log, rec)
}

func (w *world) isRunning(p *process) bool { return !p.paused && slices.Contains(w.processes, p) }
func (w *world) randomProcess() *process   { return w.processes[w.choose.intn(len(w.processes), "vm")] }

// processAt returns the running process at an address, nil if there is none.
func (w *world) processAt(addr string) *process {
	i := slices.IndexFunc(w.processes, func(p *process) bool { return p.addr == addr && !p.paused })
	if i < 0 {
		return nil
	}
	return w.processes[i]
}

// step performs one random action and then checks that no slot has two processes that may start
// calls.
func (w *world) step() error {
	w.now += time.Duration(w.choose.intn(80, "ms")) * time.Millisecond
	w.recoverOne()
	p := w.randomProcess()
	switch n := w.choose.intn(100, "action"); {
	case n < 36:
		for range 1 + w.choose.intn(6, "messages") {
			w.deliverOne()
		}
	case n >= 96:
		w.injectFailure(p, w.choose.intn(12, "failure"))
	case p.paused:
	case n < 54:
		w.readLog(p)
	case n < 68:
		w.plan(p)
	case n < 74:
		w.sendHead(p)
	case n < 86:
		w.call(p)
	default:
		w.dispatch(p)
	}
	for slot := range w.cfg.Slots {
		if s := w.startersOf(slot); len(s) > 1 && w.err == nil {
			w.err = fmt.Errorf("after %v: calls in slot %d may start at more than one guard: %v", w.now, slot, s)
		}
	}
	return w.err
}

// startersOf returns the processes, including paused ones, that would start a call with a key that
// is certainly new.
func (w *world) startersOf(slot int) []Identity {
	var out []Identity
	for _, p := range w.processes {
		now := w.local(p)
		if p.l.MayStart(now, uint64(slot), now.Add(w.cfg.SkewBound)).OK {
			out = append(out, p.id)
		}
	}
	return out
}

// recoverOne sometimes ends one failure, so that the system is mostly without failures.
func (w *world) recoverOne() {
	p := w.randomProcess()
	switch w.choose.intn(25, "heal") {
	case 0, 1:
		p.paused = false
	case 2:
		p.logUnreachable = false
	case 3:
		w.logDown = false
	}
}

func (w *world) injectFailure(p *process, n int) {
	switch n {
	case 0, 1:
		p.paused = true
	case 2, 3, 4:
		p.logUnreachable = true
	case 5:
		w.logDown = true
	case 6:
		w.restart(p)
	case 7:
		w.append(membership.Evict{ID: p.id})
	case 8:
		w.stop(p)
	case 9:
		if rec, ok := p.l.Reclaim(w.local(p)); ok {
			w.sendAppend(rec.Record)
		}
	case 10:
		if len(w.inFlight) > 0 {
			i := w.choose.intn(len(w.inFlight), "drop")
			w.inFlight = slices.Delete(w.inFlight, i, i+1)
		}
	default:
		w.now += w.cfg.Validity * time.Duration(w.choose.intn(4, "long"))
	}
}

func (w *world) restart(p *process) { w.processes[slices.Index(w.processes, p)] = w.boot(p.addr) }

// stop simulates a planned stop: the keys go to the other guards, then a leave record is appended.
func (w *world) stop(p *process) {
	if p.paused {
		return
	}
	for _, m := range p.l.StopPlan(w.live()) {
		w.move(p, m)
	}
	w.sendAppend(membership.Leave{ID: p.id})
	w.restart(p)
}

// live returns the processes that the failure detector reports as live. Any running process may be
// missing.
func (w *world) live() []Identity {
	var out []Identity
	for _, p := range w.processes {
		if w.choose.intn(6, "seems live") > 0 && (!w.instantDetection || !p.paused) {
			out = append(out, p.id)
		}
	}
	return out
}

func (w *world) deliverOne() {
	if len(w.inFlight) == 0 {
		return
	}
	// Usually one of the oldest messages is chosen, so that most messages arrive in time.
	i := w.choose.intn(len(w.inFlight), "message")
	if w.choose.intn(8, "out of order") > 0 {
		i = min(i, w.choose.intn(3, "message"))
	}
	f := w.inFlight[i]
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
	f()
}

// readLog samples the log's head when the read is sent, which is the worst case for a head
// observation, and delivers the result at any later time.
func (w *world) readLog(p *process) {
	if w.logDown || p.logUnreachable || p.paused {
		return
	}
	readAt := w.local(p)
	records := w.log
	w.deliverLater(func() {
		if !w.isRunning(p) {
			return
		}
		for offset := p.l.Next(); offset < int64(len(records)); offset++ {
			w.fold(p, offset, records[offset])
		}
		p.l.ObserveHead(readAt, int64(len(records)))
	})
}

func (w *world) fold(p *process, offset int64, rec any) {
	now := w.local(p)
	switch r := rec.(type) {
	case membership.Join:
		p.l.ApplyJoin(now, offset, r.Member.Identity, r.Member.InnerAddr, true)
	case membership.Leave:
		p.l.ApplyLeave(offset, r.ID)
	case membership.Evict:
		p.l.ApplyEvict(now, offset, r.ID)
	case Takeover:
		p.l.ApplyTakeover(now, offset, r)
		if s := p.l.slots[r.Slots[0]]; r.NewOwner == p.id && s.firstOffset == offset && s.effectiveAt.After(now) {
			w.coverage["crash takeovers"]++
		}
	}
}

func (w *world) plan(p *process) {
	if p.l.stopped {
		w.restart(p)
		return
	}
	for _, a := range p.l.Plan(w.local(p), w.live()) {
		switch a := a.(type) {
		case AppendTakeover:
			w.sendAppend(a.Record)
		case RequestPromise:
			w.deliverLater(func() { w.requestPromise(p, a) })
		case MoveSlots:
			w.move(p, a)
		}
	}
}

func (w *world) requestPromise(p *process, a RequestPromise) {
	to := w.processAt(a.Addr)
	if to == nil || !to.l.OnPromiseRequest(w.local(to), p.id, a.Slots) {
		return
	}
	w.deliverLater(func() {
		if w.isRunning(p) {
			p.l.Promise(a.At, to.id, to.addr)
		}
	})
}

// move releases slots and sends p's keys of these slots. Allowed calls that were not sent yet are
// dropped; a real guard would wait for them.
func (w *world) move(p *process, m MoveSlots) {
	h := p.l.Release(w.local(p), m.Addr, m.Slots)
	isMoved := func(key int) bool {
		return slices.ContainsFunc(h.Slots, func(s HandedSlot) bool { return s.Slot == p.l.SlotOf(uint64(key)) })
	}
	var keys []int
	for k := range w.keys {
		if p.memory[k] && isMoved(k) {
			keys = append(keys, k)
		}
	}
	p.allowed = slices.DeleteFunc(p.allowed, func(c allowedCall) bool { return isMoved(c.key) })
	w.deliverLater(func() {
		to := w.processAt(m.Addr)
		if to == nil || to.id != m.To || !to.l.ImportedHandOver(w.local(to), h) {
			return
		}
		w.coverage["hand-overs"]++
		for _, k := range keys {
			to.memory[k] = true
		}
	})
}

func (w *world) sendHead(p *process) {
	head, ok := p.l.Head()
	if !ok || p.paused {
		return
	}
	for _, to := range w.processes {
		w.deliverLater(func() {
			if w.isRunning(to) {
				to.l.ObservePeerHead(p.id, head)
			}
		})
	}
}
