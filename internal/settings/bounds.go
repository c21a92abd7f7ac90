package settings

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// maxBytes is the maximum of every size setting. The node shares its VM with an upstream and must
// stay a small process.
const maxBytes = 1 << 30

// durationCheck is a duration field with its inclusive bounds.
type durationCheck struct {
	field    string
	value    Duration
	min, max time.Duration
}

func checkDurations(checks []durationCheck) error {
	for _, c := range checks {
		if v := c.value.Std(); v < c.min || v > c.max {
			return &FieldError{c.field, v.String(), fmt.Sprintf("between %v and %v", c.min, c.max)}
		}
	}
	return nil
}

func (t *Timing) validate() error {
	err := checkDurations([]durationCheck{
		{"timing.exchange", t.Exchange, 50 * time.Millisecond, time.Minute},
		{"timing.upstream_silence", t.UpstreamSilence, 100 * time.Millisecond, time.Minute},
		{"timing.authority", t.Authority, 200 * time.Millisecond, time.Minute},
		{"timing.drain_notice", t.DrainNotice, 0, time.Minute},
		{"timing.stop_timeout", t.StopTimeout, time.Second, time.Hour},
		{"timing.connect", t.Connect, time.Millisecond, 30 * time.Second},
		{"timing.idle_connection", t.IdleConnection, time.Second, time.Hour},
	})
	if err != nil {
		return err
	}
	return t.validateOrder()
}

// validateOrder checks pairs of periods of which the first must not exceed the second.
func (t *Timing) validateOrder() error {
	orderedPairs := []struct {
		lowField, highField string
		low, high           Duration
	}{
		{"timing.drain_notice", "timing.stop_timeout", t.DrainNotice, t.StopTimeout},
		{"timing.exchange", "timing.authority", t.Exchange, t.Authority},
	}
	for _, o := range orderedPairs {
		if o.low > o.high {
			return &FieldError{o.lowField, o.low.String(), fmt.Sprintf("at most %s, which is %v", o.highField, o.high)}
		}
	}
	return nil
}

func (l *Limits) validate() error {
	checks := []struct {
		field           string
		value, min, max int
	}{
		{"limits.caller_connections", l.CallerConnections, 1, 1 << 20},
		{"limits.calls_in_flight", l.CallsInFlight, 1, 1 << 20},
		{"limits.peer_connections", l.PeerConnections, 1, 1 << 16},
		{"limits.queue", l.Queue, 0, 1 << 20},
		{"limits.body_bytes", l.BodyBytes, 1 << 10, maxBytes},
		{"limits.held_bytes", l.HeldBytes, 1 << 10, maxBytes},
		{"limits.answer_bytes", l.AnswerBytes, 1 << 10, maxBytes},
		{"limits.answer_keys", l.AnswerKeys, 16, 1 << 24},
		{"limits.header_bytes", l.HeaderBytes, 1 << 10, 1 << 20},
		{"limits.timeline_events", l.TimelineEvents, 16, 1 << 20},
		{"limits.timeline_sample", l.TimelineSample, 1, 1 << 20},
		{"limits.suspects", l.Suspects, 16, 1 << 20},
	}
	for _, c := range checks {
		if c.value < c.min || c.value > c.max {
			return &FieldError{c.field, fmt.Sprint(c.value), fmt.Sprintf("between %d and %d", c.min, c.max)}
		}
	}
	if l.BodyBytes > l.HeldBytes {
		return &FieldError{"limits.body_bytes", fmt.Sprint(l.BodyBytes), fmt.Sprintf("at most limits.held_bytes, which is %d", l.HeldBytes)}
	}
	return nil
}

var levels = []string{"debug", "info", "warn", "error"}

func (l *Logging) validate() error {
	if !slices.Contains(levels, l.Level) {
		return &FieldError{"logging.level", quote(l.Level), "one of " + strings.Join(levels, ", ")}
	}
	if l.Burst < 1 || l.Burst > 1<<20 {
		return &FieldError{"logging.burst", fmt.Sprint(l.Burst), fmt.Sprintf("between 1 and %d", 1<<20)}
	}
	if l.Sample < 1 || l.Sample > 1<<20 {
		return &FieldError{"logging.sample", fmt.Sprint(l.Sample), fmt.Sprintf("between 1 and %d", 1<<20)}
	}
	return nil
}
