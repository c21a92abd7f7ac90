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
	// publishPeriod is the time between the starts of two rounds, unless a round
	// takes longer. In a round, all operators publish a change of the same instance,
	// based on the same version, and one of them is accepted. So there are at most
	// two changes per second.
	publishPeriod = 500 * time.Millisecond
	// decisionTimeout bounds the wait of an operator for the decision on its
	// publication.
	decisionTimeout = 5 * time.Second
	decisionPoll    = 5 * time.Millisecond
	// appendRetryDelay is the delay before the retry of an append that failed or has an
	// unknown outcome.
	appendRetryDelay = 20 * time.Millisecond
	// minKeepAnswersSeconds is the lower bound of the published values of
	// keep_answers. They are minutes long: no stored response expires in a run of
	// seconds, so the changes affect no call.
	minKeepAnswersSeconds = 300
)

// operators publishes changes of the instances on behalf of count operators. In each
// round their changes conflict.
type operators struct {
	world     *World
	watch     *configWatch
	count     int
	published atomic.Int64

	mu sync.Mutex
	// rounds counts the rounds in which every operator got a decision. violations
	// counts the rounds among them with a wrong decision: no publication or more than
	// one was accepted, or the decision on a rejected publication does not name the
	// author of the accepted one.
	rounds, violations int
}

// run starts a round every publishPeriod until ctx ends.
func (o *operators) run(ctx context.Context) {
	services := o.world.deployment.Services
	t := time.NewTicker(publishPeriod)
	defer t.Stop()
	for i := 0; ; i++ {
		o.runRound(ctx, i, services[i%len(services)].Name)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// publishResult is the decision on one operator's publication.
type publishResult struct {
	author   string
	decision policy.Decision
	// at is the time at which the append took effect.
	at      time.Time
	decided bool
}

func (o *operators) runRound(ctx context.Context, round int, service string) {
	base := o.baseVersion(service)
	results := make([]publishResult, o.count)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() {
			author := fmt.Sprintf("operator-%d", i)
			id := fmt.Sprintf("round-%d-%d", round, i)
			results[i] = o.publish(ctx, id, author, service, base)
		})
	}
	wg.Wait()
	o.countRound(service, results)
}

// baseVersion returns the newest version of the instance at any node, on which the
// operators of a round base their publications.
func (o *operators) baseVersion(service string) policy.Version {
	var newest policy.Version
	for _, v := range o.world.allVMs() {
		if n := v.currentNode(); n != nil {
			newest = max(newest, n.Node().Policy().InstanceVersion(o.world.deployment.Name, service))
		}
	}
	return newest
}

func (o *operators) publish(ctx context.Context, id, author, service string, base policy.Version) publishResult {
	p := policy.Publication{ID: id, Author: author, BaseVersion: base, Instance: &policy.Instance{
		Workspace: o.world.deployment.Name, Service: service, Template: "balanced", Revision: 1,
		Values: map[string]string{"keep_answers": fmt.Sprintf("%ds", minKeepAnswersSeconds+o.published.Add(1))},
	}}
	rec, err := p.Record(time.Now())
	if err != nil {
		return publishResult{author: author}
	}
	at, ok := o.appendRecord(ctx, rec)
	if !ok {
		return publishResult{author: author}
	}
	d, ok := o.awaitDecision(ctx, id)
	return publishResult{author: author, decision: d, at: at, decided: ok}
}

// appendRecord appends a record and retries while the outcome is unknown or the log is
// overloaded. It returns the time of the first append that may have taken effect, and
// whether there is one.
func (o *operators) appendRecord(ctx context.Context, rec logstore.Record) (time.Time, bool) {
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
		time.Sleep(appendRetryDelay)
	}
	return first, !first.IsZero()
}

// awaitDecision polls all nodes until one has the decision on publication id. It
// returns false after decisionTimeout.
func (o *operators) awaitDecision(ctx context.Context, id string) (policy.Decision, bool) {
	for end := time.Now().Add(decisionTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(decisionPoll) {
		for _, v := range o.world.allVMs() {
			n := v.currentNode()
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

// countRound passes the accepted change to the configWatch, and counts the round if
// every operator got a decision.
func (o *operators) countRound(service string, results []publishResult) {
	var winners []publishResult
	for _, r := range results {
		if r.decided && r.decision.Outcome == policy.Accepted {
			winners = append(winners, r)
			o.watch.addAccepted(acceptedChange{service: service, version: r.decision.Version, at: r.at})
		}
	}
	for _, r := range results {
		if !r.decided {
			return
		}
	}
	consistent := len(winners) == 1
	for _, r := range results {
		if consistent && r.author != winners[0].author && !conflictsWith(r.decision, winners[0].author) {
			consistent = false
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rounds++
	if !consistent {
		o.violations++
	}
}

// conflictsWith reports whether a publication was rejected with a version conflict
// that names author as the winner.
func conflictsWith(d policy.Decision, author string) bool {
	return d.Outcome == policy.Conflicted && d.Conflict != nil && d.Conflict.Author == author
}

func (o *operators) figures() (rounds, violations int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rounds, o.violations
}
