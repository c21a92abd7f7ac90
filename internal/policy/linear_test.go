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

// operation is one call of an operator; an empty id reads.
type operation struct {
	id    string
	based Version
}

// answer is what the operator was told. A read gives the version and who set
// it; a publication its outcome, empty when that never became known.
type answer struct {
	outcome Outcome
	version Version
	id      string
}

// cell is the model of one object: who set it last, at which version. The
// version of a write whose outcome is unknown is settled by the next read.
type cell struct {
	id      string
	version Version
}

const unsettled Version = -1

// conditionalWrites is the promise to operators: a publication comes in force
// only on the version that it was based on, and what came in force stays until
// the next one.
var conditionalWrites = porcupine.NondeterministicModel{
	Init: func() []any { return []any{cell{}} },
	Step: func(state, input, output any) []any {
		return step(state.(cell), input.(operation), output.(answer))
	},
	Equal: func(a, b any) bool { return a == b },
}

func step(c cell, op operation, out answer) []any {
	switch {
	case op.id == "":
		if c.id == out.id && (c.version == out.version || c.version == unsettled) {
			return []any{cell{out.id, out.version}}
		}
	case out.outcome == Accepted:
		if c.version == op.based && out.version > c.version {
			return []any{cell{op.id, out.version}}
		}
	case out.outcome == Lost:
		if c.id == out.id && (c.version == out.version || c.version == unsettled) && out.version != op.based {
			return []any{cell{out.id, out.version}}
		}
	default:
		if c.version == op.based {
			return []any{c, cell{op.id, unsettled}}
		}
		return []any{c}
	}
	return nil
}

func check(ops []porcupine.Operation) bool {
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

func (o *operator) Take(page logstore.Page, _ time.Time) {
	o.mu.Lock()
	o.replica.Take(page)
	o.mu.Unlock()
	o.app.Observe(page.Entries)
}

func (o *operator) Truncated(oldest int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.replica.Truncated(oldest)
}

func (o *operator) Failed(error) {}

func (o *operator) state() *State {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.replica.State()
}

// fresh returns a state that holds all that was acknowledged before the call.
func (o *operator) fresh(ctx context.Context) *State {
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

// publish sends one change of the one instance and reports what it was told.
func (o *operator) publish(ctx context.Context, id string, based Version, allowance int) answer {
	p := &Publication{ID: id, Author: "ito", BaseVersion: based, Instance: testInstance("letters", "strict", 1, fmt.Sprint(allowance))}
	if _, err := o.app.Append(ctx, record(p)); errors.Is(err, logstore.ErrUncertain) {
		return answer{}
	}
	d, ok := o.state().Decision(id)
	switch {
	case !ok:
		return answer{}
	case d.Lost != nil:
		return answer{outcome: Lost, version: d.Lost.Version, id: d.Lost.ID}
	}
	return answer{outcome: d.Outcome, version: d.Version, id: id}
}

func (o *operator) read(ctx context.Context) answer {
	s := o.fresh(ctx)
	e, ok := s.instances[key{"chikugo", "letters"}]
	if !ok {
		return answer{}
	}
	return answer{version: e.last.Version, id: e.last.ID}
}

// recorder collects the history. Unknown outcomes end only with the run: the
// record may come into the log at any later moment.
type recorder struct {
	mu   sync.Mutex
	tick int64
	ops  []porcupine.Operation
}

func (r *recorder) run(client int, op operation, call func() answer) answer {
	r.mu.Lock()
	r.tick++
	start := r.tick
	r.mu.Unlock()
	out := call()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tick++
	end := r.tick
	if op.id != "" && out.outcome == "" {
		end = 1 << 40
	}
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: op, Output: out, Call: start, Return: end})
	return out
}

// Guards against operators being told outcomes that fit no order of their writes.
func TestConcurrentOperatorsAreLinearizable(t *testing.T) {
	outcomes := map[Outcome]int{}
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			ops := concurrentRun(t, seed)
			must.True(t, check(ops), must.Sprintf("seed %d", seed))
			for _, op := range ops {
				if op.Input.(operation).id != "" {
					outcomes[op.Output.(answer).outcome]++
				}
			}
		})
	}
	t.Logf("outcomes (empty is unknown): %v", outcomes)
	must.MapContainsKeys(t, outcomes, []Outcome{Accepted, Lost, ""})
}

func concurrentRun(t *testing.T, seed uint64) []porcupine.Operation {
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

// work reads and publishes; some calls are given up early.
func (o *operator) work(ctx context.Context, rec *recorder, client int, rng *rand.Rand) {
	for i := range 10 {
		seen := rec.run(client, operation{}, func() answer { return o.read(ctx) })
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		id := fmt.Sprintf("c%d-%d", client, i)
		op := operation{id: id, based: seen.version}
		rec.run(client, op, func() answer {
			limit := time.Duration(20+rng.IntN(2000)) * time.Millisecond
			callCtx, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			return o.publish(callCtx, id, seen.version, rng.IntN(4))
		})
	}
}

// Hand-written histories that break the promise: the checker must refuse each.
func TestCheckerRefusesBadHistories(t *testing.T) {
	write := func(at int64, id string, based Version, out answer) porcupine.Operation {
		return porcupine.Operation{Input: operation{id, based}, Output: out, Call: at, Return: at + 1}
	}
	read := func(at int64, id string, version Version) porcupine.Operation {
		return porcupine.Operation{Input: operation{}, Output: answer{version: version, id: id}, Call: at, Return: at + 1}
	}
	accepted := func(v Version) answer { return answer{outcome: Accepted, version: v} }
	good := []porcupine.Operation{
		write(1, "a", 0, accepted(5)), read(3, "a", 5),
		write(5, "b", 0, answer{Lost, 5, "a"}), write(7, "c", 5, answer{}), read(9, "c", 8),
	}
	must.True(t, check(good))
	bad := map[string][]porcupine.Operation{
		"both of two racing changes accepted": {write(1, "a", 0, accepted(5)), write(3, "b", 0, accepted(6))},
		"accepted change reverted":            {write(1, "a", 0, accepted(5)), write(3, "b", 5, accepted(6)), read(5, "a", 5)},
		"accepted change lost":                {write(1, "a", 0, accepted(5)), read(3, "", 0)},
		"lost to one that never was":          {write(1, "a", 0, accepted(5)), write(3, "b", 0, answer{Lost, 4, "x"})},
		"version fell":                        {write(1, "a", 0, accepted(5)), write(3, "b", 5, accepted(4))},
		"unknown change applied on another":   {write(1, "a", 0, accepted(5)), write(3, "b", 0, answer{}), read(5, "b", 7)},
		"lost change came in force":           {write(1, "a", 0, accepted(5)), write(3, "b", 0, answer{Lost, 5, "a"}), read(5, "b", 7)},
	}
	for name, ops := range bad {
		must.False(t, check(ops), must.Sprint(name))
	}
}
