package admission

import (
	"fmt"
	"math"
	"time"

	"github.com/galenagrade/galenagrade/internal/bounds"
	"github.com/galenagrade/galenagrade/internal/callctx"
)

const (
	// MaxSlots is the upper bound of Config.Slots; a larger value is rejected as a configuration
	// error.
	MaxSlots = 1 << 16
	// MaxQueue is the upper bound of Config.QueueLimit.
	MaxQueue = 1 << 16

	// defaultSojournTarget is the target delay of the CoDel paper (5 ms).
	defaultSojournTarget = 5 * time.Millisecond
	// defaultSojournInterval is the interval of the CoDel paper (100 ms).
	defaultSojournInterval = 100 * time.Millisecond
	// defaultMaxWait leaves most of a typical caller timeout (seconds) for running the call.
	defaultMaxWait = 500 * time.Millisecond
	// defaultMinLimitDivisor divides the slots to give the default MinLimit. An eighth of the slots
	// still suffices to measure throughput.
	defaultMinLimitDivisor = 8
)

// Config holds the parameters of a Controller.
type Config struct {
	// Slots is the number of slots that the upstream announced. It is the initial and the maximum
	// limit.
	Slots int
	// MinLimit is the minimum of the adaptive limit.
	MinLimit int
	// QueueLimit is the maximum number of waiting calls, over all levels.
	QueueLimit int
	// SojournTarget is the maximum standing delay that does not count as overload. The standing
	// delay is the delay that the queue had throughout an interval; see standingDelay.
	SojournTarget time.Duration
	// SojournInterval is how long the standing delay must exceed SojournTarget to count as
	// overload. It is also the period of all adjustments.
	SojournInterval time.Duration
	// MaxWait is the maximum time that a call waits.
	MaxWait time.Duration
	// Worth is the relative value of one answered call by level. It must not increase towards less
	// important levels. Calls of a level with worth 0 never wait.
	Worth [callctx.Levels]float64
	// Adapt enables the adaptive limit. Otherwise the limit is always Slots.
	Adapt bool
}

// DefaultConfig returns the default parameters for an upstream with the given number of slots,
// clamped to 1..MaxSlots. QueueLimit equals the slots, so a full queue adds about one service
// time.
func DefaultConfig(slots int) Config {
	slots = min(max(slots, 1), MaxSlots)
	return Config{
		Slots:           slots,
		MinLimit:        max(1, slots/defaultMinLimitDivisor),
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
	if err := bounds.Check("admission", "Slots", c.Slots, 1, MaxSlots); err != nil {
		return err
	}
	if err := bounds.Check("admission", "MinLimit", c.MinLimit, 1, c.Slots); err != nil {
		return err
	}
	if err := bounds.Check("admission", "QueueLimit", c.QueueLimit, 0, MaxQueue); err != nil {
		return err
	}
	if err := bounds.Check("admission", "SojournTarget", c.SojournTarget, 10*time.Microsecond, 10*time.Second); err != nil {
		return err
	}
	if err := bounds.Check("admission", "SojournInterval", c.SojournInterval, time.Millisecond, 10*time.Second); err != nil {
		return err
	}
	if err := bounds.Check("admission", "MaxWait", c.MaxWait, time.Millisecond, time.Minute); err != nil {
		return err
	}
	return checkWorth(c.Worth)
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
