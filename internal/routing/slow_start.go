package routing

import (
	"sync/atomic"
	"time"
)

const (
	// minSlowStartShare is the initial share of a new endpoint. It is above 0, because the endpoint
	// must receive calls to give the responses that raise its share.
	minSlowStartShare = 0.05
	// slowStartTimeoutFactor times SlowStart is the time after which an endpoint counts as warm
	// regardless of its responses. Otherwise an endpoint of a service with few calls would stay in
	// slow start until it has given SlowStartAnswers responses.
	slowStartTimeoutFactor = 4
)

// slowStart limits the calls to a new process. A cold upstream that receives its full share at once
// responds late, its calls time out and are retried, and it never warms up. The share grows with
// the smaller of elapsed time and responses given. Time alone would load an upstream that is still
// cold, and responses alone would give the full share within milliseconds under heavy load.
type slowStart struct {
	warm      atomic.Bool
	startedAt atomic.Int64
	answers   atomic.Int64
}

// start begins the slow start of an endpoint that joined age ago by its own clock. If that clock is
// ahead, age is negative and the slow start lasts its whole duration.
func (r *slowStart) start(at int64, age time.Duration, cfg *Config) {
	age = max(age, 0)
	if age >= cfg.SlowStart {
		r.warm.Store(true)
		return
	}
	r.startedAt.Store(at - int64(age))
}

// restart begins a whole slow start now.
func (r *slowStart) restart(at int64) {
	r.answers.Store(0)
	r.startedAt.Store(at)
	r.warm.Store(false)
}

// share returns the endpoint's share of its full load, in [minSlowStartShare, 1].
func (r *slowStart) share(at int64, cfg *Config) float64 {
	if r.warm.Load() {
		return 1
	}
	elapsed := at - r.startedAt.Load()
	byTime := 1.0
	if cfg.SlowStart > 0 {
		byTime = float64(elapsed) / float64(cfg.SlowStart)
	}
	byAnswers := 1.0
	if cfg.SlowStartAnswers > 0 {
		byAnswers = float64(r.answers.Load()) / float64(cfg.SlowStartAnswers)
	}
	share := min(byTime, byAnswers)
	if share >= 1 || elapsed >= slowStartTimeoutFactor*int64(cfg.SlowStart) {
		r.warm.Store(true)
		return 1
	}
	return max(share, minSlowStartShare)
}
