package upstream

import "sync"

// Run is one execution of a request.
type Run struct {
	// Upstream is the name of the upstream that ran the request.
	Upstream string
	// Op and Attempt are the values of HeaderOp and HeaderAttempt, Key that of
	// Idempotency-Key.
	Op, Attempt, Service, Path, Key string
	// Poison reports that the request crashed the upstream.
	Poison bool
	// Completed reports that the execution and all its steps succeeded.
	Completed bool
}

// Ledger records the executions of several upstreams. Safe for concurrent use.
type Ledger struct {
	mu   sync.Mutex
	runs []*Run
}

func (l *Ledger) start(r Run) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, &r)
	return &r
}

func (l *Ledger) complete(r *Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Completed = true
}

// Runs returns a copy of the recorded executions, in order of their start.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Run, len(l.runs))
	for i, r := range l.runs {
		out[i] = *r
	}
	return out
}
