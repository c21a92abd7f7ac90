package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/membership"
)

// chooser makes the choices of a simulated run: rapid, or a seeded source.
type chooser interface {
	intn(n int, what string) int
}

type seeded struct{ *rand.Rand }

func (s seeded) intn(n int, _ string) int { return s.IntN(n) }

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

// call is a call that was allowed to start and was not sent yet.
type call struct {
	key      int
	deadline time.Time
}

// proc is one life of a guard on one VM. Its clock runs at its own rate and is
// off by a skew; memory is what it knows of keys.
type proc struct {
	id             Identity
	addr           string
	l              *Lessor
	rate           float64
	skew           time.Duration
	paused, logOut bool
	memory         map[int]bool
	allowed        []call
}

type simKey struct {
	issued time.Time // on the caller's clock; zero when the key has no time
	first  time.Duration
	runs   []string
}

// world is a service of a few guards over one log, in real time. What is under
// way is in bag; it arrives late, out of order or never.
type world struct {
	ch    chooser
	cfg   Config
	now   time.Duration
	log   []any
	procs []*proc // one for each VM
	bag   []func()
	keys  []*simKey
	incs  uint64
	down  bool // the log is out for all
	// informed makes nodes see at once that a process is paused.
	informed bool
	err      error
	seen     map[string]int // shows that a run reached what it is meant to test
}

func newWorld(ch chooser, cfg Config, vms int) *world {
	w := &world{ch: ch, cfg: cfg, seen: map[string]int{}}
	for i := range vms {
		w.procs = append(w.procs, w.boot(fmt.Sprintf("vm%d", i)))
	}
	return w
}

func (w *world) boot(addr string) *proc {
	w.incs++
	p := &proc{
		id:     Identity{Node: addr, Incarnation: w.incs},
		addr:   addr,
		rate:   1 + float64(w.ch.intn(17, "rate")-8)/1000,
		skew:   w.skew(),
		memory: map[int]bool{},
	}
	p.l = NewLessor(w.cfg, Options{Self: p.id, Addr: addr})
	w.send(membership.Join{Member: membership.Member{Identity: p.id, InnerAddr: addr}})
	return p
}

// skew keeps any two clocks less than SkewBound apart at first; a world is too
// short for drift to use up the rest.
func (w *world) skew() time.Duration {
	half := int(w.cfg.SkewBound/time.Millisecond) * 45 / 100
	return time.Duration(w.ch.intn(2*half+1, "skew")-half) * time.Millisecond
}

func (w *world) local(p *proc) time.Time {
	return epoch.Add(p.skew + time.Duration(float64(w.now)*p.rate))
}

func (w *world) later(f func()) { w.bag = append(w.bag, f) }

// send puts an append under way; it lands even if its sender is gone by then.
func (w *world) send(rec any) { w.later(func() { w.append(rec) }) }

func (w *world) append(rec any) {
	if w.down {
		w.send(rec)
		return
	}
	w.log = append(w.log, rec)
}

func (w *world) awake(p *proc) bool { return !p.paused && slices.Contains(w.procs, p) }
func (w *world) pick() *proc        { return w.procs[w.ch.intn(len(w.procs), "vm")] }

// at returns the process that answers at an address, nil when none does.
func (w *world) at(addr string) *proc {
	i := slices.IndexFunc(w.procs, func(p *proc) bool { return p.addr == addr && !p.paused })
	if i < 0 {
		return nil
	}
	return w.procs[i]
}

// step does one thing drawn at random and then checks what must always hold.
func (w *world) step() error {
	w.now += time.Duration(w.ch.intn(80, "ms")) * time.Millisecond
	w.heal()
	p := w.pick()
	switch n := w.ch.intn(100, "action"); {
	case n < 36:
		for range 1 + w.ch.intn(6, "messages") {
			w.arrive()
		}
	case n >= 96:
		w.fail(p, w.ch.intn(12, "failure"))
	case p.paused:
	case n < 54:
		w.read(p)
	case n < 68:
		w.plan(p)
	case n < 74:
		w.tellHead(p)
	case n < 86:
		w.call(p)
	default:
		w.dispatch(p)
	}
	for slot := range w.cfg.Slots {
		if s := w.starters(slot); len(s) > 1 && w.err == nil {
			w.err = fmt.Errorf("at %v slot %d may be started at %v", w.now, slot, s)
		}
	}
	return w.err
}

// starters asks every process, paused ones included, whether it would start a
// key that is surely new.
func (w *world) starters(slot int) []Identity {
	var out []Identity
	for _, p := range w.procs {
		now := w.local(p)
		if p.l.MayStart(now, uint64(slot), now.Add(w.cfg.SkewBound)).OK {
			out = append(out, p.id)
		}
	}
	return out
}

// heal ends one failure now and then, so that none is the usual state.
func (w *world) heal() {
	p := w.pick()
	switch w.ch.intn(25, "heal") {
	case 0, 1:
		p.paused = false
	case 2:
		p.logOut = false
	case 3:
		w.down = false
	}
}

func (w *world) fail(p *proc, n int) {
	switch n {
	case 0, 1:
		p.paused = true
	case 2, 3, 4:
		p.logOut = true
	case 5:
		w.down = true
	case 6:
		w.restart(p)
	case 7:
		w.append(membership.Evict{ID: p.id})
	case 8:
		w.stop(p)
	case 9:
		if rec, ok := p.l.Reclaim(w.local(p)); ok {
			w.send(rec.Record)
		}
	case 10:
		if len(w.bag) > 0 {
			i := w.ch.intn(len(w.bag), "drop")
			w.bag = slices.Delete(w.bag, i, i+1)
		}
	default:
		w.now += w.cfg.Validity * time.Duration(w.ch.intn(4, "long"))
	}
}

func (w *world) restart(p *proc) { w.procs[slices.Index(w.procs, p)] = w.boot(p.addr) }

// stop is a planned stop: memory goes to the others, then a leave record.
func (w *world) stop(p *proc) {
	if p.paused {
		return
	}
	for _, m := range p.l.StopPlan(w.live()) {
		w.move(p, m)
	}
	w.send(membership.Leave{ID: p.id})
	w.restart(p)
}

// live is what a node believes: any part of the others may seem dead.
func (w *world) live() []Identity {
	var out []Identity
	for _, p := range w.procs {
		if w.ch.intn(6, "seems live") > 0 && (!w.informed || !p.paused) {
			out = append(out, p.id)
		}
	}
	return out
}

func (w *world) arrive() {
	if len(w.bag) == 0 {
		return
	}
	// Mostly one of the oldest, so that most messages arrive in good time.
	i := w.ch.intn(len(w.bag), "message")
	if w.ch.intn(8, "out of order") > 0 {
		i = min(i, w.ch.intn(3, "message"))
	}
	f := w.bag[i]
	w.bag = slices.Delete(w.bag, i, i+1)
	f()
}

// read samples the log's head when it is sent, the worst case for a proof, and
// delivers at any later time.
func (w *world) read(p *proc) {
	if w.down || p.logOut || p.paused {
		return
	}
	t0 := w.local(p)
	records := w.log
	w.later(func() {
		if !w.awake(p) {
			return
		}
		for offset := p.l.Next(); offset < int64(len(records)); offset++ {
			w.fold(p, offset, records[offset])
		}
		p.l.ObserveHead(t0, int64(len(records)))
	})
}

func (w *world) fold(p *proc, offset int64, rec any) {
	now := w.local(p)
	switch r := rec.(type) {
	case membership.Join:
		p.l.Joined(now, offset, r.Member.Identity, r.Member.InnerAddr, true)
	case membership.Leave:
		p.l.Left(offset, r.ID)
	case membership.Evict:
		p.l.Evicted(now, offset, r.ID)
	case Takeover:
		p.l.Apply(now, offset, r)
		if s := p.l.slots[r.Slots[0]]; r.NewOwner == p.id && s.first == offset && s.effective.After(now) {
			w.seen["crash takeovers"]++
		}
	}
}

func (w *world) plan(p *proc) {
	if p.l.stopped {
		w.restart(p)
		return
	}
	for _, a := range p.l.Plan(w.local(p), w.live()) {
		switch a := a.(type) {
		case AppendTakeover:
			w.send(a.Record)
		case AskPromise:
			w.later(func() { w.ask(p, a) })
		case MoveSlots:
			w.move(p, a)
		}
	}
}

func (w *world) ask(p *proc, a AskPromise) {
	to := w.at(a.Addr)
	if to == nil || !to.l.OnPromiseRequest(w.local(to), p.id, a.Slots) {
		return
	}
	w.later(func() {
		if w.awake(p) {
			p.l.Promise(a.At, to.id, to.addr)
		}
	})
}

// move releases slots and sends what p knows of their keys; calls that were
// allowed and not sent are given up, as a guard that waits for them would.
func (w *world) move(p *proc, m MoveSlots) {
	h := p.l.Release(w.local(p), m.Addr, m.Slots)
	moved := func(key int) bool {
		return slices.ContainsFunc(h.Slots, func(s HandedSlot) bool { return s.Slot == p.l.SlotOf(uint64(key)) })
	}
	var keys []int
	for k := range w.keys {
		if p.memory[k] && moved(k) {
			keys = append(keys, k)
		}
	}
	p.allowed = slices.DeleteFunc(p.allowed, func(c call) bool { return moved(c.key) })
	w.later(func() {
		to := w.at(m.Addr)
		if to == nil || to.id != m.To || !to.l.ImportedHandOver(w.local(to), h) {
			return
		}
		w.seen["hand-overs"]++
		for _, k := range keys {
			to.memory[k] = true
		}
	})
}

func (w *world) tellHead(p *proc) {
	head, ok := p.l.Head()
	if !ok || p.paused {
		return
	}
	for _, to := range w.procs {
		w.later(func() {
			if w.awake(to) {
				to.l.ObservePeerHead(p.id, head)
			}
		})
	}
}
