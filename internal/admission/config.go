package admission

import (
	"fmt"
	"math"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

const (
	// MaxSlots bounds Config.Slots; a larger figure is taken for a mistake.
	MaxSlots = 1 << 16
	// MaxQueue bounds Config.QueueLimit.
	MaxQueue = 1 << 16

	// defaultSojournTarget is the CoDel target of the literature (5 ms).
	defaultSojournTarget = 5 * time.Millisecond
	// defaultSojournInterval is the CoDel interval of the literature (100 ms).
	defaultSojournInterval = 100 * time.Millisecond
	// defaultMaxWait leaves most of a caller's patience (seconds) for running.
	defaultMaxWait = 500 * time.Millisecond
	// defaultMinShare is the part of the slots below which the limit does not
	// fall by default: an eighth still measures throughput.
	defaultMinShare = 8
)

// Config holds the parameters of a Controller.
type Config struct {
	// Slots is what the upstream announced: first and greatest limit.
	Slots int
	// MinLimit is the least value of the adaptive limit.
	MinLimit int
	// QueueLimit is the most calls that wait, over all levels.
	QueueLimit int
	// SojournTarget is the standing delay that is accepted without end.
	SojournTarget time.Duration
	// SojournInterval is how long the standing delay must exceed the target,
	// and the period of every adjustment.
	SojournInterval time.Duration
	// MaxWait bounds the wait of one call.
	MaxWait time.Duration
	// Worth is the worth of one answered call of each level; it must not rise
	// from a level to a less important one. A level of worth 0 never waits.
	Worth [callctx.Levels]float64
	// Adapt switches the adaptive limit on; without it the limit is Slots.
	Adapt bool
}

// DefaultConfig returns the parameters for an upstream with that many slots.
// The queue holds as many calls as run, so a full queue costs about one service
// time.
func DefaultConfig(slots int) Config {
	slots = min(max(slots, 1), MaxSlots)
	return Config{
		Slots:           slots,
		MinLimit:        max(1, slots/defaultMinShare),
		QueueLimit:      slots,
		SojournTarget:   defaultSojournTarget,
		SojournInterval: defaultSojournInterval,
		MaxWait:         defaultMaxWait,
		Worth:           [callctx.Levels]float64{8, 4, 2, 1},
		Adapt:           true,
	}
}

// Validate returns an error that names the first field out of bounds, its value
// and the bound.
func (c Config) Validate() error {
	if err := checkInt("Slots", c.Slots, 1, MaxSlots); err != nil {
		return err
	}
	if err := checkInt("MinLimit", c.MinLimit, 1, c.Slots); err != nil {
		return err
	}
	if err := checkInt("QueueLimit", c.QueueLimit, 0, MaxQueue); err != nil {
		return err
	}
	if err := checkDuration("SojournTarget", c.SojournTarget, 10*time.Microsecond, 10*time.Second); err != nil {
		return err
	}
	if err := checkDuration("SojournInterval", c.SojournInterval, time.Millisecond, 10*time.Second); err != nil {
		return err
	}
	if err := checkDuration("MaxWait", c.MaxWait, time.Millisecond, time.Minute); err != nil {
		return err
	}
	return checkWorth(c.Worth)
}

func checkInt(field string, v, low, high int) error {
	if v < low || v > high {
		return fmt.Errorf("admission: %s is %d, want %d to %d", field, v, low, high)
	}
	return nil
}

func checkDuration(field string, v, low, high time.Duration) error {
	if v < low || v > high {
		return fmt.Errorf("admission: %s is %v, want %v to %v", field, v, low, high)
	}
	return nil
}

func checkWorth(worth [callctx.Levels]float64) error {
	bound := math.MaxFloat32
	for i, w := range worth {
		if math.IsNaN(w) || w < 0 || w > bound {
			return fmt.Errorf("admission: Worth[%s] is %v, want 0 to %v", callctx.Level(i), w, bound)
		}
		bound = w
	}
	return nil
}
