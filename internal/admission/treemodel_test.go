package admission

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/testclock"
)

const (
	// usualCall is how long a call of the deepest service takes on average.
	usualCall = 55 * time.Millisecond
	// rootTimes is how much longer a request takes that needs this service alone.
	rootTimes = 3
)

// treeRoute is one kind of request: a root that makes calls of the deepest service, one
// after the other.
type treeRoute struct {
	level callctx.Level
	rate  float64
	// calls of the deepest service; 0 for a route that is served by it directly.
	calls   int
	work    time.Duration
	worth   float64
	timeout time.Duration
}

// treeModel is a deployment in virtual time: entries with a gate for the deepest service,
// which all routes that call it share, and the guards of that service. What lies between
// takes its time and always succeeds.
type treeModel struct {
	model   *model
	routes  []treeRoute
	entries []map[int]*TreeGate
	guards  []*modelGuard
	service func(g *modelGuard) time.Duration
	last    int
	// demand is by how much more than usual callers ask now; nil: as usual.
	demand func() float64
	// from is when counting begins.
	from  time.Duration
	tally []treeTally
}

// treeTally counts what became of the requests of a route.
type treeTally struct {
	asked, admitted, completed, refused, failed int
	// failedLate are those of failed whose tree was served before at the deepest service.
	failedLate int
}

type modelGuard struct {
	ctl   *Controller
	calls map[string]*guardCall
}

type guardCall struct {
	run    func()
	refuse func(*result.Refusal)
}

// treeRequest is one request on its way.
type treeRequest struct {
	route    int
	entry    int
	level    callctx.Level
	hash     uint32
	began    time.Time
	asked    time.Time
	deadline time.Time
	left     int
	// sheds is the least threshold met.
	sheds uint32
	again bool
}

func newTreeModel(entries, guards, slots int, routes []treeRoute) *treeModel {
	f := &treeModel{routes: routes, tally: make([]treeTally, len(routes))}
	start := time.Unix(1_000_000, 0)
	f.model = &model{Clock: testclock.New(start), rng: rand.New(rand.NewPCG(3, 4))}
	for range entries {
		gates := map[int]*TreeGate{}
		behind := &TreeGate{}
		for r, route := range routes {
			gates[r] = behind
			if route.calls == 0 {
				gates[r] = &TreeGate{}
			}
		}
		f.entries = append(f.entries, gates)
	}
	for range guards {
		f.guards = append(f.guards, &modelGuard{ctl: New(DefaultConfig(slots), start), calls: map[string]*guardCall{}})
	}
	f.service = func(*modelGuard) time.Duration { return f.jittered(usualCall) }
	f.model.After(10*time.Millisecond, f.tick)
	for r, route := range routes {
		f.model.After(0, func() { f.arrive(r, route) })
	}
	return f
}

func (f *treeModel) jittered(d time.Duration) time.Duration {
	return time.Duration((0.3 + 1.4*f.model.rng.Float64()) * float64(d))
}

func (f *treeModel) tick() {
	for _, g := range f.guards {
		f.apply(g, g.ctl.Tick(f.model.Now()))
	}
	f.model.After(10*time.Millisecond, f.tick)
}

func (f *treeModel) counted() bool { return f.model.Elapsed() >= f.from }

// arrive lets callers ask, some 2 a second each entry and more.
func (f *treeModel) arrive(r int, route treeRoute) {
	f.ask(&treeRequest{route: r, asked: f.model.Now()})
	rate := route.rate
	if f.demand != nil {
		rate *= f.demand()
	}
	f.model.After(time.Duration(f.model.rng.ExpFloat64()/rate*float64(time.Second)), func() { f.arrive(r, route) })
}

// ask is one attempt of a caller.
func (f *treeModel) ask(t *treeRequest) {
	now, route := f.model.Now(), &f.routes[t.route]
	t.entry = f.model.rng.IntN(len(f.entries))
	t.level, t.hash = route.level, f.model.rng.Uint32()
	t.began, t.deadline = now, now.Add(route.timeout)
	t.left = max(route.calls, 1)
	t.sheds = nothingShed
	if f.counted() && !t.again {
		f.tally[t.route].asked++
	}
	gate := f.entries[t.entry][t.route]
	if refusal := gate.Admit(now, t.level, t.hash, 2*time.Second, f.model.rng.Float64(), f.model.rng.Float64()); refusal != nil {
		f.refused(t, refusal)
		return
	}
	if f.counted() {
		f.tally[t.route].admitted++
	}
	f.model.After(f.jittered(route.work), func() { f.step(t) })
}

// refused lets a caller come back once.
func (f *treeModel) refused(t *treeRequest, refusal *result.Refusal) {
	if t.again {
		if f.counted() {
			f.tally[t.route].refused++
		}
		return
	}
	back := *t
	back.again = true
	f.model.After(max(refusal.RetryAfter, 50*time.Millisecond), func() { f.ask(&back) })
}

// pick returns the guard with the least work for its slots that does not shed the rank.
func (f *treeModel) pick(t *treeRequest, avoid *modelGuard) *modelGuard {
	var best *modelGuard
	least := 0.0
	for _, g := range f.guards {
		load := g.ctl.Load()
		sheds := !f.continues(t) && Rank(t.level, t.hash) >= load.Threshold
		if g == avoid || sheds && load.InFlight >= load.Limit {
			continue
		}
		score := float64(load.InFlight+load.Queued) / float64(load.Limit)
		if best == nil || score < least {
			best, least = g, score
		}
	}
	return best
}

// continues reports whether the deepest service has served calls of the request.
func (f *treeModel) continues(t *treeRequest) bool { return t.left < f.routes[t.route].calls }

// met notes what all guards shed from, as answers carry it.
func (f *treeModel) met(t *treeRequest) {
	most := uint32(0)
	for _, g := range f.guards {
		most = max(most, g.ctl.Load().Threshold)
	}
	t.sheds = min(t.sheds, most)
}

func (f *treeModel) step(t *treeRequest) {
	if t.left == 0 {
		f.end(t, true)
		return
	}
	f.met(t)
	g := f.pick(t, nil)
	if g == nil {
		f.rejected(t)
		return
	}
	f.call(t, g, func(refusal *result.Refusal) {
		other := f.pick(t, g)
		if other == nil {
			f.rejected(t)
			return
		}
		f.call(t, other, func(*result.Refusal) { f.rejected(t) })
	})
}

// rejected ends a tree whose call found no room. A request that needs the deepest
// service alone has not run and may come back.
func (f *treeModel) rejected(t *treeRequest) {
	if f.routes[t.route].calls == 0 {
		f.refused(t, result.Refuse(result.Shed, "").After(300*time.Millisecond))
		return
	}
	f.end(t, false)
}

func (f *treeModel) call(t *treeRequest, g *modelGuard, refuse func(*result.Refusal)) {
	f.last++
	id := strconv.Itoa(f.last)
	depth, deadline := 3, t.deadline
	if f.routes[t.route].calls == 0 {
		depth = 0
	} else if latest := f.model.Now().Add(700 * time.Millisecond); latest.Before(deadline) {
		deadline = latest
	}
	g.calls[id] = &guardCall{refuse: refuse, run: func() {
		began := f.model.Now()
		took := f.service(g)
		if depth == 0 {
			took *= rootTimes
		}
		f.model.After(took, func() {
			f.apply(g, g.ctl.Finish(f.model.Now(), id, Answered, f.model.Now().Sub(began)))
			t.left--
			f.model.After(2*time.Millisecond, func() { f.step(t) })
		})
	}}
	d, others := g.ctl.Offer(f.model.Now(), Request{ID: id, Level: t.level, CallerHash: t.hash, Deadline: deadline, RootAdmitted: t.began, Depth: depth, HasPriorWork: f.continues(t)})
	f.apply(g, others)
	f.apply(g, []Decision{d})
}

func (f *treeModel) apply(g *modelGuard, ds []Decision) {
	for _, d := range ds {
		c := g.calls[d.ID]
		if d.Verdict == Wait || c == nil {
			continue
		}
		delete(g.calls, d.ID)
		if d.Verdict == Run {
			c.run()
		} else {
			c.refuse(d.Refusal)
		}
	}
}

func (f *treeModel) end(t *treeRequest, completed bool) {
	if completed && f.model.Now().After(t.deadline) {
		completed = false
	}
	f.entries[t.entry][t.route].ObserveThreshold(f.model.Now(), t.sheds)
	if !f.counted() {
		return
	}
	if completed {
		f.tally[t.route].completed++
	} else {
		f.tally[t.route].failed++
		if f.continues(t) {
			f.tally[t.route].failedLate++
		}
	}
}

func (f *treeModel) run(until time.Duration) { f.model.Run(until) }

// lakes are the routes of a deployment whose deepest service is short.
func lakes(scale float64) []treeRoute {
	return []treeRoute{
		{level: callctx.LevelNormal, rate: 57 * scale, calls: 4, work: 250 * time.Millisecond, worth: 1, timeout: 1200 * time.Millisecond},
		{level: callctx.LevelCritical, rate: 34 * scale, calls: 8, work: 320 * time.Millisecond, worth: 3, timeout: 1500 * time.Millisecond},
		{level: callctx.LevelNormal, rate: 7 * scale, work: 0, worth: 1, timeout: time.Second},
	}
}

// best is the worth that the deepest service has room for: whole requests, those worth
// most for their calls first.
func (f *treeModel) best(d time.Duration, capacity float64) float64 {
	routes := slices.Clone(f.routes)
	slices.SortFunc(routes, func(a, b treeRoute) int { return cmp.Compare(b.worth/b.room(), a.worth/a.room()) })
	left, worth := capacity*d.Seconds(), 0.0
	for _, r := range routes {
		n := min(r.rate*d.Seconds(), left/r.room())
		left -= n * r.room()
		worth += n * r.worth
	}
	return worth
}

// room is how many calls of usual length a request takes of the deepest service.
func (r *treeRoute) room() float64 {
	if r.calls == 0 {
		return rootTimes
	}
	return float64(r.calls)
}

// Guards against a short deepest service whose slots go to requests that fail.
func TestShortDeepestServiceServesWhatFits(t *testing.T) {
	for _, x := range []struct {
		entries, guards, slots int
		scale                  float64
	}{{14, 1, 16, 1}, {14, 2, 16, 1}, {14, 2, 16, 1.7}, {14, 3, 16, 1.7}, {76, 1, 126, 10}, {76, 2, 126, 10}} {
		f := newTreeModel(x.entries, x.guards, x.slots, lakes(x.scale))
		f.from = 4 * time.Second
		f.run(34 * time.Second)
		worth := 0.0
		for r, n := range f.tally {
			worth += f.routes[r].worth * float64(n.completed)
			t.Logf("%+v route %d: %+v", x, r, n)
		}
		best := f.best(30*time.Second, float64(x.guards*x.slots)/usualCall.Seconds())
		must.Greater(t, 0.9*best, worth, must.Sprintf("%+v", x))
	}
}
