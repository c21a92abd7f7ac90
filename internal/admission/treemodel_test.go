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
	"github.com/galenagrade/galenagrade/internal/room"
	"github.com/galenagrade/galenagrade/internal/testclock"
)

const (
	// meanCallDuration is the mean duration of a call to the deepest service.
	meanCallDuration = 55 * time.Millisecond
	// treeModelSeed and treeModelStream seed the arrivals and durations of a tree model.
	treeModelSeed, treeModelStream = 3, 4
	// rootDurationFactor is the duration of a call of a route that uses only the deepest service,
	// as a multiple of the duration of other calls.
	rootDurationFactor = 3
)

// treeRoute is a kind of request: a root that makes sequential calls to the deepest service.
type treeRoute struct {
	level callctx.Level
	rate  float64
	// calls is the number of calls to the deepest service; 0 if that service serves the route
	// directly.
	calls   int
	work    time.Duration
	worth   float64
	timeout time.Duration
	// workspace is the workspace that sends the requests.
	workspace string
	// factor returns the current rate as a multiple of rate; nil means 1.
	factor func() float64
}

// treeModel simulates a deployment in virtual time. It consists of entry nodes, each with a gate
// shared by all routes that call the deepest service, and the guards of that service. The
// services in between take time and always succeed.
type treeModel struct {
	model   *model
	routes  []treeRoute
	entries []map[int]*TreeGate
	// killOrder seeds the order in which the calls of a killed guard end; 0 is that of their IDs.
	killOrder uint64
	guards    []*modelGuard
	service   func(g *modelGuard) time.Duration
	// shedShare returns the share of all calls that the upstreams shed now; nil means none.
	shedShare func() float64
	lastID    int
	// demandFactor returns the current demand as a multiple of the normal rate; nil means 1.
	demandFactor func() float64
	// countFrom is the time at which counting starts.
	countFrom time.Duration
	tally     []treeTally
	// divide returns the caller hash of a request from an evenly distributed one; nil keeps it.
	divide func(t *treeRequest, hash uint32) uint32
	// reaches reports whether a request can be sent to a guard; nil means always.
	reaches func(t *treeRequest, g *modelGuard) bool
	// reserving is set if entry nodes ask guards for room; see reserveRoom.
	reserving bool
	// lostAnswers is the share of the answers of guards that are lost.
	lostAnswers float64
	roomGates   []*room.Gate
	roomGrants  [][]room.Grants
}

// treeTally counts the results of the requests of a route.
type treeTally struct {
	requested, admitted, completed, refused, failed int
	// failedLate counts the failed requests of which the deepest service had already served calls.
	failedLate int
}

type modelGuard struct {
	ctl    *Controller
	calls  map[string]*guardCall
	ledger *room.Ledger
	dead   bool
}

type guardCall struct {
	run    func()
	refuse func(*result.Refusal)
}

// treeRequest is a request in progress.
type treeRequest struct {
	route        int
	entry        int
	level        callctx.Level
	hash         uint32
	startedAt    time.Time
	firstAttempt time.Time
	deadline     time.Time
	callsLeft    int
	// lowestThreshold is the lowest threshold observed by its calls.
	lowestThreshold uint32
	retried         bool
	granted         bool
}

func newTreeModel(entries, guards, slots int, routes []treeRoute) *treeModel {
	f := &treeModel{routes: routes, tally: make([]treeTally, len(routes))}
	start := time.Unix(1_000_000, 0)
	f.model = &model{Clock: testclock.New(start), rng: rand.New(rand.NewPCG(treeModelSeed, treeModelStream))}
	for range entries {
		gates := map[int]*TreeGate{}
		shared := &TreeGate{}
		for r, route := range routes {
			gates[r] = shared
			if route.calls == 0 {
				gates[r] = &TreeGate{}
			}
		}
		f.entries = append(f.entries, gates)
	}
	for range guards {
		f.guards = append(f.guards, &modelGuard{ctl: New(DefaultConfig(slots), start), calls: map[string]*guardCall{}})
	}
	f.service = func(*modelGuard) time.Duration { return f.jittered(meanCallDuration) }
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
		f.updateLedger(g)
	}
	f.model.After(10*time.Millisecond, f.tick)
}

func (f *treeModel) counting() bool { return f.model.Elapsed() >= f.countFrom }

// arrive starts a request and schedules the next one, at exponentially distributed intervals.
func (f *treeModel) arrive(r int, route treeRoute) {
	f.attempt(&treeRequest{route: r, firstAttempt: f.model.Now()})
	rate := route.rate
	if f.demandFactor != nil {
		rate *= f.demandFactor()
	}
	if route.factor != nil {
		rate *= route.factor()
	}
	f.model.After(time.Duration(f.model.rng.ExpFloat64()/rate*float64(time.Second)), func() { f.arrive(r, route) })
}

// attempt sends a request to a random entry node.
func (f *treeModel) attempt(t *treeRequest) {
	now, route := f.model.Now(), &f.routes[t.route]
	t.entry = f.model.rng.IntN(len(f.entries))
	t.level, t.hash = route.level, f.model.rng.Uint32()
	if f.divide != nil {
		t.hash = f.divide(t, t.hash)
	}
	t.startedAt, t.deadline = now, now.Add(route.timeout)
	t.callsLeft = max(route.calls, 1)
	t.lowestThreshold = openThreshold
	if f.counting() && !t.retried {
		f.tally[t.route].requested++
	}
	if t.granted = false; f.asksForRoom(t) {
		f.askForRoom(t, room.MaxAsked)
		return
	}
	f.admitByThreshold(t)
}

// admitByThreshold begins a tree unless the threshold that responses brought refuses it.
func (f *treeModel) admitByThreshold(t *treeRequest) {
	now := f.model.Now()
	gate := f.entries[t.entry][t.route]
	if refusal := gate.Admit(now, t.level, t.hash, 2*time.Second, f.model.rng.Float64(), f.model.rng.Float64()); refusal != nil {
		f.retryOrRefuse(t, refusal)
		return
	}
	f.admit(t)
}

// admit begins a tree.
func (f *treeModel) admit(t *treeRequest) {
	if f.counting() {
		f.tally[t.route].admitted++
	}
	f.model.After(f.jittered(f.routes[t.route].work), func() { f.step(t) })
}

// retryOrRefuse retries a refused request once, after the delay of the refusal.
func (f *treeModel) retryOrRefuse(t *treeRequest, refusal *result.Refusal) {
	if t.retried {
		if f.counting() {
			f.tally[t.route].refused++
		}
		return
	}
	retry := *t
	retry.retried = true
	f.model.After(max(refusal.RetryAfter, 50*time.Millisecond), func() { f.attempt(&retry) })
}

// pickGuard returns the guard with the lowest load per slot that does not shed the rank, or nil.
func (f *treeModel) pickGuard(t *treeRequest, avoid *modelGuard) *modelGuard {
	var best *modelGuard
	lowestScore := 0.0
	for _, g := range f.guards {
		load := g.ctl.Load()
		sheds := !f.hasPriorWork(t) && !t.granted && !f.asksAtGuard(t) && Rank(t.level, t.hash) >= load.Threshold
		if g == avoid || g.dead || sheds && load.InFlight >= load.Limit || !f.canReach(t, g) {
			continue
		}
		score := float64(load.InFlight+load.Queued) / float64(load.Limit)
		if best == nil || score < lowestScore {
			best, lowestScore = g, score
		}
	}
	return best
}

func (f *treeModel) canReach(t *treeRequest, g *modelGuard) bool {
	return f.reaches == nil || f.reaches(t, g)
}

// hasPriorWork reports whether the deepest service has already served calls of the request.
func (f *treeModel) hasPriorWork(t *treeRequest) bool { return t.callsLeft < f.routes[t.route].calls }

// observeThresholds records the rank from which the reports of the guards have the request refused, if
// it is below the lowest one so far.
func (f *treeModel) observeThresholds(t *treeRequest) {
	sum, failing, reached := uint64(0), 0, 0
	for _, g := range f.guards {
		if !f.canReach(t, g) {
			continue
		}
		reached++
		load := g.ctl.Load()
		sum += uint64(f.reportedThreshold(g, load.Threshold))
		if load.TreesFail {
			failing++
		}
	}
	threshold := uint32(sum / uint64(reached))
	if isTree := f.routes[t.route].calls > 0; isTree && 2*failing > reached {
		threshold = 0
	}
	t.lowestThreshold = min(t.lowestThreshold, threshold)
}

func (f *treeModel) step(t *treeRequest) {
	if t.callsLeft == 0 {
		f.end(t, true)
		return
	}
	f.observeThresholds(t)
	g := f.pickGuard(t, nil)
	if g == nil {
		f.noCapacity(t)
		return
	}
	f.call(t, g, func(refusal *result.Refusal) {
		other := f.pickGuard(t, g)
		if other == nil {
			f.noCapacity(t)
			return
		}
		f.call(t, other, func(*result.Refusal) { f.noCapacity(t) })
	})
}

// noCapacity ends a tree whose call was refused by all guards. A request that uses only the
// deepest service has not run and may be retried.
func (f *treeModel) noCapacity(t *treeRequest) {
	if f.routes[t.route].calls == 0 {
		f.retryOrRefuse(t, result.Refuse(result.Shed, "").WithRetryAfter(300*time.Millisecond))
		return
	}
	f.end(t, false)
}

func (f *treeModel) call(t *treeRequest, g *modelGuard, refuse func(*result.Refusal)) {
	f.lastID++
	id := strconv.Itoa(f.lastID)
	depth, deadline := 3, t.deadline
	if f.routes[t.route].calls == 0 {
		depth = 0
	} else if latest := f.model.Now().Add(700 * time.Millisecond); latest.Before(deadline) {
		deadline = latest
	}
	promised := t.granted
	if f.asksAtGuard(t) {
		answer := g.ledger.Ask(f.model.Now(), f.roomRequest(t), f.model.rng.Float64())
		if !answer.Granted {
			f.retryOrRefuse(t, result.Refuse(result.Shed, "").WithRetryAfter(answer.RetryAfter))
			return
		}
		promised = true
	}
	prior := f.hasPriorWork(t)
	if f.reserving && !promised && !prior {
		g.ledger.TreeSeen()
	}
	g.calls[id] = &guardCall{refuse: refuse, run: func() {
		started := f.model.Now()
		if f.shedShare != nil && f.model.rng.Float64() < f.shedShare() {
			f.model.After(time.Millisecond, func() {
				f.apply(g, g.ctl.Finish(f.model.Now(), id, UpstreamShed, time.Millisecond))
				f.callEnded(g, t, promised, !prior, true, started)
				f.observeThresholds(t)
				refuse(result.Refuse(result.UpstreamShed, ""))
			})
			return
		}
		duration := f.service(g)
		if depth == 0 {
			duration *= rootDurationFactor
		}
		f.model.After(duration, func() {
			f.apply(g, g.ctl.Finish(f.model.Now(), id, Answered, f.model.Now().Sub(started)))
			f.callEnded(g, t, promised, !prior, false, started)
			t.callsLeft--
			f.model.After(2*time.Millisecond, func() { f.step(t) })
		})
	}}
	d, others := g.ctl.Offer(f.model.Now(), Request{ID: id, Level: t.level, CallerHash: t.hash, Deadline: deadline, RootAdmitted: t.startedAt, Depth: depth, HasPriorWork: prior, Promised: promised})
	f.apply(g, others)
	f.apply(g, []Decision{d})
	f.updateLedger(g)
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
	f.entries[t.entry][t.route].ObserveThreshold(f.model.Now(), t.lowestThreshold)
	f.observeRoom(t)
	if !f.counting() {
		return
	}
	if completed {
		f.tally[t.route].completed++
	} else {
		f.tally[t.route].failed++
		if f.hasPriorWork(t) {
			f.tally[t.route].failedLate++
		}
	}
}

func (f *treeModel) run(until time.Duration) { f.model.Run(until) }

// underprovisionedRoutes returns the routes of a deployment whose deepest service lacks
// capacity.
func underprovisionedRoutes(scale float64) []treeRoute {
	return []treeRoute{
		{level: callctx.LevelNormal, rate: 57 * scale, calls: 4, work: 250 * time.Millisecond, worth: 1, timeout: 1200 * time.Millisecond},
		{level: callctx.LevelCritical, rate: 34 * scale, calls: 8, work: 320 * time.Millisecond, worth: 3, timeout: 1500 * time.Millisecond},
		{level: callctx.LevelNormal, rate: 7 * scale, work: 0, worth: 1, timeout: time.Second},
	}
}

// maxWorth returns the maximum worth that the capacity of the deepest service allows. It completes
// requests in descending order of worth per call.
func (f *treeModel) maxWorth(d time.Duration, capacity float64) float64 {
	routes := slices.Clone(f.routes)
	slices.SortFunc(routes, func(a, b treeRoute) int { return cmp.Compare(b.worth/b.callUnits(), a.worth/a.callUnits()) })
	remaining, worth := capacity*d.Seconds(), 0.0
	for _, r := range routes {
		n := min(r.rate*d.Seconds(), remaining/r.callUnits())
		remaining -= n * r.callUnits()
		worth += n * r.worth
	}
	return worth
}

// callUnits returns the capacity of the deepest service that a request uses, in calls of mean
// duration.
func (r *treeRoute) callUnits() float64 {
	if r.calls == 0 {
		return rootDurationFactor
	}
	return float64(r.calls)
}

// Guards against a deepest service that lacks capacity and spends its slots on requests that
// fail.
func TestOverloadedDeepestServiceServesWholeRequests(t *testing.T) {
	for _, x := range []struct {
		entries, guards, slots int
		scale                  float64
	}{{14, 1, 16, 1}, {14, 2, 16, 1}, {14, 2, 16, 1.7}, {14, 3, 16, 1.7}, {76, 1, 126, 10}, {76, 2, 126, 10}} {
		f := newTreeModel(x.entries, x.guards, x.slots, underprovisionedRoutes(x.scale))
		f.countFrom = 4 * time.Second
		f.run(34 * time.Second)
		worth := 0.0
		for r, n := range f.tally {
			worth += f.routes[r].worth * float64(n.completed)
			t.Logf("%+v route %d: %+v", x, r, n)
		}
		best := f.maxWorth(30*time.Second, float64(x.guards*x.slots)/meanCallDuration.Seconds())
		must.Greater(t, 0.9*best, worth, must.Sprintf("%+v", x))
	}
}
