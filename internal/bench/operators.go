package bench

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/policy"
)

const (
	// publishPeriod is the least time between two rounds: two changes a second.
	publishPeriod = 500 * time.Millisecond
	// decisionWait bounds how long an operator waits to be told.
	decisionWait = 5 * time.Second
	decisionPoll = 5 * time.Millisecond
	// publishRepeat is the pause before a publication in doubt is repeated.
	publishRepeat = 20 * time.Millisecond
	// keepAnswersBase is the least value published; no call is affected by
	// values of minutes within a run of seconds.
	keepAnswersBase = 300
)

// operators publish changes of the instances, several at once when they race.
type operators struct {
	world *World
	watch *configWatch
	count int
	value atomic.Int64

	mu sync.Mutex
	// rounds were decided; violations are those in which not exactly one
	// operator won, or another was not told by whom.
	rounds, violations int
}

// run publishes round after round until ctx ends.
func (o *operators) run(ctx context.Context) {
	services := o.world.deployment.Services
	t := time.NewTicker(publishPeriod)
	defer t.Stop()
	for i := 0; ; i++ {
		o.round(ctx, i, services[i%len(services)].Name)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// told is what one operator learned of its publication.
type told struct {
	author   string
	decision policy.Decision
	at       time.Time
	ok       bool
}

func (o *operators) round(ctx context.Context, round int, service string) {
	base := o.base(service)
	all := make([]told, o.count)
	var wg sync.WaitGroup
	for i := range all {
		wg.Go(func() {
			author := fmt.Sprintf("operator-%d", i)
			id := fmt.Sprintf("round-%d-%d", round, i)
			all[i] = o.publish(ctx, id, author, service, base)
		})
	}
	wg.Wait()
	o.judge(service, all)
}

// base is the version that the operators saw: the newest at any node.
func (o *operators) base(service string) policy.Version {
	var newest policy.Version
	for _, v := range o.world.all() {
		if n := v.running(); n != nil {
			newest = max(newest, n.Node().Policy().InstanceVersion(o.world.deployment.Name, service))
		}
	}
	return newest
}

func (o *operators) publish(ctx context.Context, id, author, service string, base policy.Version) told {
	p := policy.Publication{ID: id, Author: author, BaseVersion: base, Instance: &policy.Instance{
		Workspace: o.world.deployment.Name, Service: service, Template: "balanced", Revision: 1,
		Values: map[string]string{"keep_answers": fmt.Sprintf("%ds", keepAnswersBase+o.value.Add(1))},
	}}
	rec, err := p.Record(time.Now())
	if err != nil {
		return told{author: author}
	}
	at, ok := o.append(ctx, rec)
	if !ok {
		return told{author: author}
	}
	d, ok := o.await(ctx, id)
	return told{author: author, decision: d, at: at, ok: ok}
}

// append repeats a record in doubt, and returns when it first took effect.
func (o *operators) append(ctx context.Context, rec logstore.Record) (time.Time, bool) {
	var first time.Time
	for ctx.Err() == nil {
		_, err := o.world.log.Append(ctx, []logstore.Record{rec})
		uncertain := errors.Is(err, logstore.ErrUncertain)
		if first.IsZero() && (err == nil || uncertain) {
			first = time.Now()
		}
		if err == nil {
			return first, true
		}
		if !uncertain && !errors.Is(err, logstore.ErrOverloaded) {
			return first, !first.IsZero()
		}
		time.Sleep(publishRepeat)
	}
	return first, !first.IsZero()
}

// await asks the nodes, as an operator does, until one has the decision.
func (o *operators) await(ctx context.Context, id string) (policy.Decision, bool) {
	for end := time.Now().Add(decisionWait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(decisionPoll) {
		for _, v := range o.world.all() {
			n := v.running()
			if n == nil {
				continue
			}
			if d, ok := n.Node().Policy().Decision(id); ok {
				return d, true
			}
		}
	}
	return policy.Decision{}, false
}

// judge counts a round in which every operator was told, and hands the change
// that won to the watch.
func (o *operators) judge(service string, all []told) {
	var winners []told
	for _, t := range all {
		if t.ok && t.decision.Outcome == policy.Accepted {
			winners = append(winners, t)
			o.watch.accepted(acceptedChange{service: service, version: t.decision.Version, at: t.at})
		}
	}
	for _, t := range all {
		if !t.ok {
			return
		}
	}
	fair := len(winners) == 1
	for _, t := range all {
		if fair && t.author != winners[0].author && !toldOf(t.decision, winners[0].author) {
			fair = false
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rounds++
	if !fair {
		o.violations++
	}
}

func toldOf(d policy.Decision, winner string) bool {
	return d.Outcome == policy.Lost && d.Lost != nil && d.Lost.Author == winner
}

func (o *operators) figures() (rounds, violations int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rounds, o.violations
}
