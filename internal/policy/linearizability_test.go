package policy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/standin/logd"
)

// operation is one call of an operator: a read if id is empty, and a publication otherwise.
type operation struct {
	id          string
	baseVersion Version
}

// response is the result of an operation. A read returns the version and the ID of the last
// change; a publication returns its outcome, empty if it is unknown.
type response struct {
	outcome Outcome
	version Version
	id      string
}

// register is the model of one object: the ID and the version of its last change. The version of
// a publication with unknown outcome is unknownVersion until the next read.
type register struct {
	id      string
	version Version
}

const unknownVersion Version = -1

// conditionalWrites is the guarantee to operators: a publication is accepted only if the object
// has its base version, and an accepted publication stays in force until the next one.
var conditionalWrites = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, input, output any) []any {
		return step(state.(register), input.(operation), output.(response))
	},
	Equal: func(a, b any) bool { return a == b },
}

// step returns the possible states of the model after an operation; none if its response is
// impossible.
func step(c register, op operation, out response) []any {
	switch {
	case op.id == "":
		if c.id == out.id && (c.version == out.version || c.version == unknownVersion) {
			return []any{register{out.id, out.version}}
		}
	case out.outcome == Accepted:
		if c.version == op.baseVersion && out.version > c.version {
			return []any{register{op.id, out.version}}
		}
	case out.outcome == Conflicted:
		if c.id == out.id && (c.version == out.version || c.version == unknownVersion) && out.version != op.baseVersion {
			return []any{register{out.id, out.version}}
		}
	default:
		if c.version == op.baseVersion {
			return []any{c, register{op.id, unknownVersion}}
		}
		return []any{c}
	}
	return nil
}

// isLinearizable reports whether a history fits the model.
func isLinearizable(ops []porcupine.Operation) bool {
	m := conditionalWrites.ToModel()
	return porcupine.CheckOperations(m, ops)
}

// operator is one client with its own appender and replica.
type operator struct {
	log     logstore.Log
	app     *logstore.Appender
	mu      sync.Mutex
	replica *Replica
}

func (o *operator) Next() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.replica.Next()
}

func (o *operator) OnPage(page logstore.Page, _ time.Time) {
	o.mu.Lock()
	o.replica.Take(page)
	o.mu.Unlock()
	o.app.Observe(page.Entries)
}

func (o *operator) OnTruncated(oldest int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.replica.Truncated(oldest)
}

func (o *operator) OnReadFailed(error) {}

func (o *operator) state() *State {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.replica.State()
}

// latestState returns a state that contains all records acknowledged before the call.
func (o *operator) latestState(ctx context.Context) *State {
	head, err := o.log.Head(ctx)
	for err != nil {
		time.Sleep(10 * time.Millisecond)
		head, err = o.log.Head(ctx)
	}
	for int64(o.state().Version()) < head {
		time.Sleep(time.Millisecond)
	}
	return o.state()
}

// publish publishes one change of the instance and returns the reported outcome.
func (o *operator) publish(ctx context.Context, id string, baseVersion Version, allowance int) response {
	p := &Publication{ID: id, Author: "ito", BaseVersion: baseVersion, Instance: testInstance("letters", "strict", 1, fmt.Sprint(allowance))}
	if _, err := o.app.Append(ctx, record(p)); errors.Is(err, logstore.ErrUncertain) {
		return response{}
	}
	d, ok := o.state().Decision(id)
	switch {
	case !ok:
		return response{}
	case d.Conflict != nil:
		return response{outcome: Conflicted, version: d.Conflict.Version, id: d.Conflict.ID}
	}
	return response{outcome: d.Outcome, version: d.Version, id: id}
}

func (o *operator) read(ctx context.Context) response {
	s := o.latestState(ctx)
	e, ok := s.instances[key{"chikugo", "letters"}]
	if !ok {
		return response{}
	}
	return response{version: e.last.Version, id: e.last.ID}
}

// recorder collects the history. It records an operation with unknown outcome as ending after the
// run, since its record may be appended at any later time.
type recorder struct {
	mu    sync.Mutex
	clock int64
	ops   []porcupine.Operation
}

func (r *recorder) run(client int, op operation, call func() response) response {
	r.mu.Lock()
	r.clock++
	start := r.clock
	r.mu.Unlock()
	out := call()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock++
	end := r.clock
	if op.id != "" && out.outcome == "" {
		end = 1 << 40
	}
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: op, Output: out, Call: start, Return: end})
	return out
}

// Guards against outcomes that fit no order of the operators' publications and reads.
func TestConcurrentOperatorsAreLinearizable(t *testing.T) {
	outcomes := map[Outcome]int{}
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			ops := runOperators(t, seed)
			must.True(t, isLinearizable(ops), must.Sprintf("seed %d", seed))
			for _, op := range ops {
				if op.Input.(operation).id != "" {
					outcomes[op.Output.(response).outcome]++
				}
			}
		})
	}
	t.Logf("outcomes (empty is unknown): %v", outcomes)
	must.MapContainsKeys(t, outcomes, []Outcome{Accepted, Conflicted, ""})
}

func runOperators(t *testing.T, seed uint64) []porcupine.Operation {
	log := logd.New(logd.Options{Seed: seed})
	_, err := log.Append(t.Context(), []logstore.Record{record(&Publication{ID: "t", Author: "ito", Template: testTemplate("strict", 1, 0)})})
	must.NoError(t, err)
	log.SetKnobs(logd.Knobs{AppendsPerSecond: 40, AckLoss: 0.3, DelayMillis: 7})
	outage := time.AfterFunc(2*time.Second, func() { log.Update(func(k *logd.Knobs) { k.Hang = true }) })
	recovery := time.AfterFunc(4*time.Second, func() { log.Update(func(k *logd.Knobs) { k.Hang = false }) })
	defer outage.Stop()
	defer recovery.Stop()
	ctx, cancel := context.WithCancel(t.Context())
	var rec recorder
	var clients, loops sync.WaitGroup
	for client := range 4 {
		o := newOperator(t, log, seed+uint64(client))
		loops.Go(func() { _ = o.app.Run(ctx) })
		loops.Go(func() { _ = logstore.Follow(ctx, log, logstore.DefaultFollowConfig(), o) })
		clients.Go(func() { o.work(ctx, &rec, client, rand.New(rand.NewPCG(seed, uint64(client)))) })
	}
	clients.Wait()
	cancel()
	loops.Wait()
	return rec.ops
}

func newOperator(t *testing.T, log logstore.Log, seed uint64) *operator {
	cfg := logstore.DefaultAppenderConfig()
	cfg.Rand = rand.New(rand.NewPCG(seed, 1))
	app, err := logstore.NewAppender(log, cfg)
	must.NoError(t, err)
	return &operator{log: log, app: app, replica: NewReplica(nil)}
}

// work reads and publishes in turn; some calls have short timeouts.
func (o *operator) work(ctx context.Context, rec *recorder, client int, rng *rand.Rand) {
	for i := range 10 {
		seen := rec.run(client, operation{}, func() response { return o.read(ctx) })
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		id := fmt.Sprintf("c%d-%d", client, i)
		op := operation{id: id, baseVersion: seen.version}
		rec.run(client, op, func() response {
			limit := time.Duration(20+rng.IntN(2000)) * time.Millisecond
			callCtx, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			return o.publish(callCtx, id, seen.version, rng.IntN(4))
		})
	}
}

// Guards against a checker that accepts every history: it must reject each of these histories,
// which violate the guarantee.
func TestCheckerRejectsBadHistories(t *testing.T) {
	write := func(at int64, id string, baseVersion Version, out response) porcupine.Operation {
		return porcupine.Operation{Input: operation{id, baseVersion}, Output: out, Call: at, Return: at + 1}
	}
	read := func(at int64, id string, version Version) porcupine.Operation {
		return porcupine.Operation{Input: operation{}, Output: response{version: version, id: id}, Call: at, Return: at + 1}
	}
	accepted := func(v Version) response { return response{outcome: Accepted, version: v} }
	good := []porcupine.Operation{
		write(1, "a", 0, accepted(5)), read(3, "a", 5),
		write(5, "b", 0, response{Conflicted, 5, "a"}), write(7, "c", 5, response{}), read(9, "c", 8),
	}
	must.True(t, isLinearizable(good))
	bad := map[string][]porcupine.Operation{
		"two changes of one version accepted": {write(1, "a", 0, accepted(5)), write(3, "b", 0, accepted(6))},
		"accepted change reverted":            {write(1, "a", 0, accepted(5)), write(3, "b", 5, accepted(6)), read(5, "a", 5)},
		"accepted change lost":                {write(1, "a", 0, accepted(5)), read(3, "", 0)},
		"conflict with a missing change":      {write(1, "a", 0, accepted(5)), write(3, "b", 0, response{Conflicted, 4, "x"})},
		"version decreased":                   {write(1, "a", 0, accepted(5)), write(3, "b", 5, accepted(4))},
		"unknown change on another version":   {write(1, "a", 0, accepted(5)), write(3, "b", 0, response{}), read(5, "b", 7)},
		"conflicting change came into force":  {write(1, "a", 0, accepted(5)), write(3, "b", 0, response{Conflicted, 5, "a"}), read(5, "b", 7)},
	}
	for name, ops := range bad {
		must.False(t, isLinearizable(ops), must.Sprint(name))
	}
}
