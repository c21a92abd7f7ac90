package proxy

import (
	"sync/atomic"
	"time"
)

const (
	// minReattachWait prevents re-attachments, and with them new connections, because of normal
	// variation of the response time.
	minReattachWait = 100 * time.Millisecond
	// maxReattachWait limits the delay that one unresponsive connection causes for a caller.
	maxReattachWait = 1 * time.Second
	// As in RFC 6298, an observation moves the smoothed response time by 1/meanGain of its difference
	// and the deviation by 1/deviationGain. The wait is the smoothed response time plus
	// deviationFactor times the deviation.
	meanGain        = 8
	deviationGain   = 4
	deviationFactor = 4
)

// responseTimeEstimator estimates the response time and its deviation like a TCP retransmission timer.
// Concurrent observations may overwrite each other, since an estimate does not have to be exact. The
// zero value waits for the maximum.
type responseTimeEstimator struct {
	mean, deviation atomic.Int64 // nanoseconds
}

func (e *responseTimeEstimator) observe(d time.Duration) {
	mean := e.mean.Load()
	if mean == 0 {
		e.mean.Store(int64(d))
		e.deviation.Store(int64(d) / 2)
		return
	}
	diff := int64(d) - mean
	e.mean.Store(mean + diff/meanGain)
	deviation := e.deviation.Load()
	e.deviation.Store(deviation + (max(diff, -diff)-deviation)/deviationGain)
}

// WaitBounds are the limits of the time to wait before a re-attachment.
type WaitBounds struct{ Min, Max time.Duration }

// reattachWait returns how long to wait for a response before a re-attachment.
func (e *responseTimeEstimator) reattachWait(b WaitBounds) time.Duration {
	d := e.usualMax()
	if d == 0 {
		return b.Max
	}
	return min(max(d, b.Min), b.Max)
}

// usualMax returns the time within which nearly all responses arrive; 0 if none was observed.
func (e *responseTimeEstimator) usualMax() time.Duration {
	return time.Duration(e.mean.Load() + deviationFactor*e.deviation.Load())
}
