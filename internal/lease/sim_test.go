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
	id      Identity
	addr    string
	l       *Lessor
	rate    float64
	skew    time.Duration
	paused  bool
	logOut  bool
	memory  map[int]bool
	allowed []call
}

type simKey struct {
	issued time.Time // on the caller's clock; zero when the key has no time
	first  time.Duration
	runs   []string
}

// message is anything under way; it arrives late, out of order or never.
type message struct {
	what    string
	deliver func()
}

// world is a service of a few guards over one log, in real time.
type world struct {
	ch    chooser
	cfg   Config
	now   time.Duration
	log   []any
	procs []*proc // one for each VM
	bag   []message
	keys  []*simKey
	incs  uint64
	down  bool // the log is out for all
	// informed makes nodes see at once that a process is paused.
	informed bool
	err      error
	stats    stats
}

// stats shows that a run reached what it is meant to test.
type stats struct{ starts, crashTakeovers, handOvers, promised, unknown int }

func newWorld(ch chooser, cfg Config, vms int) *world {
	w := &world{ch: ch, cfg: cfg}
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
		skew:   time.Duration(w.ch.intn(1981, "skew")-990) * time.Millisecond,
		memory: map[int]bool{},
	}
	p.l = NewLessor(w.cfg, Options{Self: p.id, Addr: addr, Workspace: "w", Service: "s"})
	rec := membership.Join{Member: membership.Member{Identity: p.id, InnerAddr: addr}}
	w.send("join", func() { w.append(rec) })
	return p
}

func (w *world) local(p *proc) time.Time {
	return epoch.Add(p.skew + time.Duration(float64(w.now)*p.rate))
}

func (w *world) send(what string, f func()) { w.bag = append(w.bag, message{what, f}) }

func (w *world) append(rec any) {
	if w.down {
		w.send("append", func() { w.append(rec) })
		return
	}
	w.log = append(w.log, rec)
}

func (w *world) running(p *proc) bool { return slices.Contains(w.procs, p) }
func (w *world) awake(p *proc) bool   { return w.running(p) && !p.paused }
func (w *world) pick() *proc          { return w.procs[w.ch.intn(len(w.procs), "vm")] }

// step does one thing drawn at random and then checks what must always hold.
func (w *world) step() error {
	w.now += time.Duration(w.ch.intn(80, "ms")) * time.Millisecond
	w.heal()
	switch n := w.ch.intn(100, "action"); {
	case n < 36:
		for range 1 + w.ch.intn(6, "messages") {
			w.arrive()
		}
	case n < 54:
		w.read(w.pick())
	case n < 68:
		w.plan(w.pick())
	case n < 74:
		w.tellHead(w.pick())
	case n < 86:
		w.call(w.pick())
	case n < 96:
		w.dispatch(w.pick())
	default:
		w.fail(w.ch.intn(12, "failure"))
	}
	w.checkOneStarter()
	return w.err
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

func (w *world) fail(n int) {
	p := w.pick()
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
		if rec, ok := p.l.Reclaim(w.local(p)); ok && !p.paused {
			w.send("reclaim", func() { w.append(rec.Record) })
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

func (w *world) restart(p *proc) {
	w.procs[slices.Index(w.procs, p)] = w.boot(p.addr)
}

// stop is a planned stop: memory goes to the others, then a leave record.
func (w *world) stop(p *proc) {
	if p.paused {
		return
	}
	for _, m := range p.l.StopPlan(w.live()) {
		w.move(p, m)
	}
	id := p.id
	w.send("leave", func() { w.append(membership.Leave{ID: id}) })
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
	m := w.bag[i]
	w.bag = slices.Delete(w.bag, i, i+1)
	m.deliver()
}

// read samples the log's head when it is sent, the worst case for a proof, and
// delivers at any later time.
func (w *world) read(p *proc) {
	if w.down || p.logOut || p.paused {
		return
	}
	t0 := w.local(p)
	records := w.log
	w.send("read", func() {
		if !w.awake(p) {
			return
		}
		for offset := p.l.Next(); offset < int64(len(records)); offset++ {
			w.fold(p, offset, records[offset])
		}
		p.l.Proof(t0, int64(len(records)))
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
		w.countTakeover(p, offset, r)
	}
}

func (w *world) countTakeover(p *proc, offset int64, r Takeover) {
	for _, i := range r.Slots {
		s := &p.l.slots[i]
		if r.By != p.id || s.first != offset {
			continue
		}
		if s.effective.After(w.local(p)) {
			w.stats.crashTakeovers++
		} else if s.first > 0 {
			w.stats.handOvers++
		}
	}
}

func (w *world) plan(p *proc) {
	if p.paused {
		return
	}
	if p.l.stopped {
		w.restart(p)
		return
	}
	for _, a := range p.l.Plan(w.local(p), w.live()) {
		switch a := a.(type) {
		case AppendTakeover:
			w.send("takeover", func() { w.append(a.Record) })
		case AskPromise:
			w.send("ask", func() { w.ask(p, a) })
		case MoveSlots:
			w.move(p, a)
		}
	}
}

func (w *world) ask(p *proc, a AskPromise) {
	for _, to := range w.procs {
		if to.addr != a.Addr || to.paused {
			continue
		}
		if to.l.OnPromiseRequest(w.local(to), p.id, a.Slots) {
			w.send("promise", func() {
				if w.awake(p) {
					p.l.Promise(a.At, to.id, to.addr)
				}
			})
		}
	}
}

func (w *world) move(p *proc, m MoveSlots) {
	h := p.l.Release(w.local(p), m.Addr, m.Slots)
	var keys []int
	for k := range w.keys {
		inSlots := slices.ContainsFunc(h.Slots, func(s HandedSlot) bool { return s.Slot == p.l.SlotOf(uint64(k)) })
		if inSlots && p.memory[k] {
			keys = append(keys, k)
		}
	}
	p.allowed = slices.DeleteFunc(p.allowed, func(c call) bool {
		return slices.ContainsFunc(h.Slots, func(s HandedSlot) bool { return s.Slot == p.l.SlotOf(uint64(c.key)) })
	})
	w.send("hand-over", func() {
		for _, to := range w.procs {
			if to.id != m.To || to.paused || !to.l.Eligible(w.local(to)) {
				continue
			}
			for _, k := range keys {
				to.memory[k] = true
			}
			to.l.ImportedHandOver(w.local(to), h)
		}
	})
}

func (w *world) tellHead(p *proc) {
	head, ok := p.l.Head()
	if !ok || p.paused {
		return
	}
	for _, to := range w.procs {
		w.send("head", func() {
			if w.awake(to) {
				to.l.HeadSeen(p.id, head)
			}
		})
	}
}

// call sends a new key, or one that its caller may still resend, to a guard.
func (w *world) call(p *proc) {
	k := len(w.keys) - 1 - w.ch.intn(6, "key")
	if k < 0 || w.ch.intn(3, "new key") == 0 {
		k = len(w.keys)
		key := &simKey{first: w.now}
		if w.ch.intn(2, "has time") == 0 {
			skew := time.Duration(w.ch.intn(1981, "caller skew")-990) * time.Millisecond
			key.issued = epoch.Add(w.now + skew)
		}
		w.keys = append(w.keys, key)
	}
	if p.paused || p.memory[k] || w.now-w.keys[k].first >= w.cfg.ResendHorizon {
		return
	}
	if a := w.try(p, k); a.Refusal != nil && a.Refusal.Owner != "" {
		w.follow(a.Refusal.Owner, k)
	}
}

func (w *world) try(p *proc, k int) Authority {
	a := p.l.MayStart(w.local(p), uint64(k), w.keys[k].issued)
	if !a.OK {
		if a.Refusal.Code.Ran() == "unknown" {
			w.stats.unknown++
		}
		return a
	}
	p.memory[k] = true
	p.allowed = append(p.allowed, call{k, a.Deadline})
	if w.ch.intn(2, "at once") == 0 {
		w.dispatch(p)
	}
	return a
}

// follow sends a call on to the owner that a refusal named.
func (w *world) follow(addr string, k int) {
	for _, p := range w.procs {
		if p.addr == addr && !p.paused && !p.memory[k] {
			w.try(p, k)
		}
	}
}

// dispatch sends an allowed call if its authority still holds right now.
func (w *world) dispatch(p *proc) {
	if p.paused || len(p.allowed) == 0 {
		return
	}
	c := p.allowed[0]
	p.allowed = p.allowed[1:]
	if !w.local(p).Before(c.deadline) {
		return
	}
	w.checkNoOther(p, c)
	key := w.keys[c.key]
	key.runs = append(key.runs, p.id.String())
	w.stats.starts++
	if p.l.proofAge(w.local(p)) >= w.cfg.Validity {
		w.stats.promised++
	}
	if len(key.runs) > 1 {
		w.err = fmt.Errorf("at %v key %d ran at %v", w.now, c.key, key.runs)
	}
}

// checkNoOther asks, as a call is sent, whether anyone else may start its slot.
func (w *world) checkNoOther(p *proc, c call) {
	for _, q := range w.procs {
		now := w.local(q)
		if q != p && q.l.MayStart(now, uint64(c.key), now.Add(w.cfg.SkewBound)).OK {
			w.err = fmt.Errorf("at %v %v sent key %d while %v may start its slot", w.now, p.id, c.key, q.id)
		}
	}
}

// checkOneStarter asks every process, paused ones included, whether it would
// start a key that is surely new.
func (w *world) checkOneStarter() {
	for slot := range w.cfg.Slots {
		var starters []string
		for _, p := range w.procs {
			now := w.local(p)
			if p.l.MayStart(now, uint64(slot), now.Add(w.cfg.SkewBound)).OK {
				starters = append(starters, p.id.String())
			}
		}
		if len(starters) > 1 && w.err == nil {
			w.err = fmt.Errorf("at %v slot %d may be started at %v", w.now, slot, starters)
		}
	}
}
