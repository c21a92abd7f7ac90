package routing

import (
	"sync/atomic"
	"time"
)

const (
	// rampFloor is the share a fresh endpoint starts with; above 0, or it
	// would never give the answers that warm it.
	rampFloor = 0.05
	// rampPatience is after how many times SlowStart an endpoint counts as
	// warm without the answers, as in services with few calls.
	rampPatience = 4
)

// ramp is the slow start of a fresh process. A cold upstream that gets its
// full share at once answers late, its calls time out and are retried, and it
// never warms. The share grows with the smaller of the time passed and the
// answers given: time alone would load an upstream that is still cold, and
// answers alone would open fully within milliseconds under heavy load.
type ramp struct {
	warm    atomic.Bool
	from    atomic.Int64
	answers atomic.Int64
}

// start begins the ramp of an endpoint that joined age ago by its own clock.
// A clock that is ahead gives a negative age, and one whole ramp.
func (r *ramp) start(at int64, age time.Duration, cfg *Config) {
	age = max(age, 0)
	if age >= cfg.SlowStart {
		r.warm.Store(true)
		return
	}
	r.from.Store(at - int64(age))
}

// restart begins a whole ramp now.
func (r *ramp) restart(at int64) {
	r.answers.Store(0)
	r.from.Store(at)
	r.warm.Store(false)
}

// share returns the endpoint's share of full use, in [rampFloor, 1].
func (r *ramp) share(at int64, cfg *Config) float64 {
	if r.warm.Load() {
		return 1
	}
	passed := at - r.from.Load()
	byTime := 1.0
	if cfg.SlowStart > 0 {
		byTime = float64(passed) / float64(cfg.SlowStart)
	}
	byAnswers := 1.0
	if cfg.SlowStartAnswers > 0 {
		byAnswers = float64(r.answers.Load()) / float64(cfg.SlowStartAnswers)
	}
	share := min(byTime, byAnswers)
	if share >= 1 || passed >= rampPatience*int64(cfg.SlowStart) {
		r.warm.Store(true)
		return 1
	}
	return max(share, rampFloor)
}
