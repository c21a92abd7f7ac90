package metrics

import (
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/galenagrade/galenagrade/internal/settings"
)

// setFormat sets the time format of zerolog. It runs once because zerolog stores the format in
// global variables.
var setFormat = sync.OnceFunc(func() {
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	zerolog.TimestampFunc = func() time.Time { return time.Now().UTC() }
	zerolog.DurationFieldUnit = time.Millisecond
})

// NewLogger returns the JSON logger of a node. Each level writes up to Burst lines per second and
// 1 in Sample lines beyond that, so that many failures at once neither fill a pipe nor suppress
// lines of other levels.
func NewLogger(w io.Writer, node string, c settings.Logging) (zerolog.Logger, error) {
	setFormat()
	level, err := zerolog.ParseLevel(c.Level)
	if err != nil || c.Level == "" {
		return zerolog.Nop(), errors.Errorf("logging.level is %q, must be debug, info, warn or error", c.Level)
	}
	sampler := zerolog.LevelSampler{
		DebugSampler: newSampler(c),
		InfoSampler:  newSampler(c),
		WarnSampler:  newSampler(c),
		ErrorSampler: newSampler(c),
	}
	return zerolog.New(w).Level(level).Sample(sampler).With().Timestamp().Str("node", node).Logger(), nil
}

func newSampler(c settings.Logging) zerolog.Sampler {
	return &zerolog.BurstSampler{
		Burst:       uint32(max(1, c.Burst)),
		Period:      time.Second,
		NextSampler: &zerolog.BasicSampler{N: uint32(max(1, c.Sample))},
	}
}
