package bench

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/galenagrade/galenagrade/internal/history"
	"github.com/galenagrade/galenagrade/internal/result"
)

// versionPeriod is the interval at which the nodes' configuration versions are read.
const versionPeriod = 20 * time.Millisecond

// versionLog records the configuration versions that each node applied, in the order
// of observation. Safe for concurrent use.
type versionLog struct {
	mu       sync.Mutex
	versions []history.Version
	last     map[string]int64
}

// record appends a version if it differs from the last one of its node.
func (l *versionLog) record(node string, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last == nil {
		l.last = map[string]int64{}
	}
	if last, ok := l.last[node]; ok && last == version {
		return
	}
	l.last[node] = version
	l.versions = append(l.versions, history.Version{Node: node, Version: version})
}

func (l *versionLog) snapshot() []history.Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.versions)
}

// watchVersions records the version of every node each versionPeriod until the World
// is closed.
func (w *World) watchVersions() {
	t := time.NewTicker(versionPeriod)
	defer t.Stop()
	for {
		for _, v := range w.vms {
			v.mu.Lock()
			n := v.node
			v.mu.Unlock()
			w.versions.record(v.name, int64(n.Node().Policy().Version()))
		}
		select {
		case <-t.C:
		case <-w.ctx.Done():
			return
		}
	}
}

// history returns the run's history, joined from the independent records of callers,
// upstreams and nodes.
func (w *World) history(outcomes []*Outcome) *history.History {
	h := &history.History{Versions: w.versions.snapshot()}
	for _, o := range outcomes {
		for _, a := range o.Attempts {
			h.Sends = append(h.Sends, sendRecord(o, a))
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
		allowance = w.retryAllowance()
	}
	counts := w.retries.all()
	for _, root := range slices.Sorted(maps.Keys(counts)) {
		h.Retries = append(h.Retries, history.Retries{Root: root, Count: counts[root], Allowance: allowance})
	}
	return h
}

func sendRecord(o *Outcome, a Attempt) history.Send {
	return history.Send{
		Request: o.Op, Attempt: a.ID, Service: o.Kind.Service,
		Code: result.Code(a.Code), Success: a.Success, BodyComplete: a.BodyComplete,
		ResponseRequest: a.ResponseRequest, ResponseService: a.ResponseService, Err: a.Err,
	}
}
