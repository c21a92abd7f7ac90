package proxy

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// DialFunc makes a connection to another node.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

const (
	// minReattachWait keeps ordinary variation from costing connections.
	minReattachWait = 100 * time.Millisecond
	// maxReattachWait bounds what a caller loses to one silent connection.
	maxReattachWait = 1 * time.Second
	// gains of the smoothed wait and its deviation, as in RFC 6298.
	waitGain      = 8
	deviationGain = 4
	deviations    = 4
)

// waitEstimator keeps the usual wait for an answer and its deviation, like a
// TCP retransmission timer. Concurrent observations may overwrite each other:
// an estimate needs no exactness. The zero value waits maxReattachWait.
type waitEstimator struct {
	mean, deviation atomic.Int64 // nanoseconds
}

func (w *waitEstimator) observe(d time.Duration) {
	mean := w.mean.Load()
	if mean == 0 {
		w.mean.Store(int64(d))
		w.deviation.Store(int64(d) / 2)
		return
	}
	diff := int64(d) - mean
	w.mean.Store(mean + diff/waitGain)
	deviation := w.deviation.Load()
	w.deviation.Store(deviation + (max(diff, -diff)-deviation)/deviationGain)
}

// WaitBounds bound the wait before a second connection is tried.
type WaitBounds struct{ Min, Max time.Duration }

// bound returns how long to wait before a second connection is tried.
func (w *waitEstimator) bound(b WaitBounds) time.Duration {
	mean := w.mean.Load()
	if mean == 0 {
		return b.Max
	}
	d := time.Duration(mean + deviations*w.deviation.Load())
	return min(max(d, b.Min), b.Max)
}
