package bench

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/galenagrade/galenagrade/internal/history"
	"github.com/galenagrade/galenagrade/internal/result"
)

// versionPeriod is how often the configuration versions of the nodes are seen.
const versionPeriod = 20 * time.Millisecond

// versionLog collects the configuration versions in force at each node, in the
// order in which they were seen. Safe for concurrent use.
type versionLog struct {
	mu   sync.Mutex
	seen []history.Version
	last map[string]int64
}

// see keeps a version that differs from the last one of its node.
func (l *versionLog) see(node string, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last == nil {
		l.last = map[string]int64{}
	}
	if last, ok := l.last[node]; ok && last == version {
		return
	}
	l.last[node] = version
	l.seen = append(l.seen, history.Version{Node: node, Version: version})
}

func (l *versionLog) list() []history.Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.seen)
}

// watchVersions looks at every node until the world ends.
func (w *World) watchVersions() {
	t := time.NewTicker(versionPeriod)
	defer t.Stop()
	for {
		for _, v := range w.vms {
			v.mu.Lock()
			n := v.node
			v.mu.Unlock()
			w.versions.see(v.name, int64(n.Node().Policy().Version()))
		}
		select {
		case <-t.C:
		case <-w.ctx.Done():
			return
		}
	}
}

// history joins what callers, upstreams and nodes recorded by themselves.
func (w *World) history(outcomes []*Outcome) *history.History {
	h := &history.History{Versions: w.versions.list()}
	for _, o := range outcomes {
		for _, s := range o.Sends {
			h.Sends = append(h.Sends, sendRecord(o, s))
		}
	}
	for _, r := range w.ledger.Runs() {
		h.Runs = append(h.Runs, history.Run{
			Upstream: r.Upstream, Service: r.Service, Path: r.Path,
			Request: r.Op, Attempt: r.Attempt, Key: r.Key,
			Killed: r.Poison, Done: r.Completed,
		})
	}
	allowance := history.Unbounded
	if w.managed() {
		allowance = w.allowance()
	}
	counts := w.retries.all()
	for _, root := range slices.Sorted(maps.Keys(counts)) {
		h.Retries = append(h.Retries, history.Retries{Root: root, Count: counts[root], Allowance: allowance})
	}
	return h
}

func sendRecord(o *Outcome, s Sending) history.Send {
	return history.Send{
		Request: o.Op, Attempt: s.Attempt, Service: o.Kind.Service,
		Code: result.Code(s.Code), Success: s.Success, Whole: s.Whole,
		AnswerTo: s.AnswerTo, AnswerFrom: s.AnswerFrom, Err: s.Err,
	}
}
