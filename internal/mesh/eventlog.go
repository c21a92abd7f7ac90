package mesh

import (
	"github.com/rs/zerolog"

	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

// eventMessage is the message of log lines that are timeline events.
const eventMessage = "event"

// logEvent writes an event as a log line with the field names that it has on the timeline, so
// that galenactl reads both. Failures and changes of the node's view of the deployment are
// warnings. The lines of calls are limited per level, so a flood of successful calls displaces
// no line of a failure. The lines of one tree of calls are kept or dropped together.
func (m *Mesh) logEvent(e *timeline.Event) {
	level := eventLevel(e)
	logger, oneIn := &m.rateLimited, 1
	if e.RequestID != "" {
		keep := false
		if keep, oneIn = m.samplerFor(level).Keep(e.Time(), e.RequestID); !keep {
			return
		}
		logger = &m.logger
	}
	line := logger.WithLevel(level)
	if line == nil {
		return
	}
	line.Str("hlc", e.HLC.String()).Str("kind", string(e.Kind))
	for _, f := range []struct{ name, value string }{
		{"call_id", e.CallID}, {"request_id", e.RequestID}, {"service", e.Service}, {"upstream", e.Upstream}, {"detail", e.Detail},
	} {
		if f.value != "" {
			line.Str(f.name, f.value)
		}
	}
	if e.Code != 0 {
		line.Int("code", int(e.Code)).Str("result", e.Code.String()).Str("ran", string(e.Code.Ran()))
	}
	if e.Cause != nil {
		line.Interface("cause", e.Cause)
	}
	if oneIn > 1 {
		line.Int("one_in", oneIn)
	}
	line.Int64("routes_version", m.routes.Version()).Msg(eventMessage)
}

// samplerFor returns the sampler of call trees for the lines of a level.
func (m *Mesh) samplerFor(level zerolog.Level) *timeline.TreeSampler {
	if level == zerolog.InfoLevel {
		return &m.successTrees
	}
	return &m.failureTrees
}

func eventLevel(e *timeline.Event) zerolog.Level {
	switch e.Kind {
	case timeline.CallReceived, timeline.CallRouted, timeline.CallAdmitted, timeline.CallQueued, timeline.CallStarted, timeline.CallJoined:
		return zerolog.InfoLevel
	case timeline.CallAnswered:
		if e.Code == result.OK || e.Code == result.Replayed {
			return zerolog.InfoLevel
		}
	}
	return zerolog.WarnLevel
}
