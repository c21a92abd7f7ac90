package records

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"
)

// Purpose is the reason for which a node calls the store.
type Purpose string

const (
	// PurposeStart is a read of all keys by a node that has no records yet.
	PurposeStart Purpose = "start"
	// PurposeZone is a read of the records of the node's own zone by a node that starts.
	PurposeZone Purpose = "zone"
	// PurposeExpired is a read of all keys after records expired before they were read.
	PurposeExpired Purpose = "expired"
	// PurposeChanges is a read that waits for the next records.
	PurposeChanges Purpose = "changes"
	// PurposeOwnRecord is a write of the node's own record.
	PurposeOwnRecord Purpose = "own_record"
	// PurposeCrash is a write of crash records: the requests that ran when an upstream crashed.
	PurposeCrash Purpose = "crash"
)

// Outcome is the result of a call of the store.
type Outcome string

const (
	// OutcomeDone is a call that succeeded.
	OutcomeDone Outcome = "done"
	// OutcomeExpired is a read of records that the store no longer keeps.
	OutcomeExpired Outcome = "expired"
	// OutcomeEnded is a call that the node canceled because it stops or reads elsewhere.
	OutcomeEnded Outcome = "ended"
	// OutcomeFailed is a call that was refused or got no response.
	OutcomeFailed Outcome = "failed"
)

// StoreCallMessage is the message of the log line of each call of the store.
const StoreCallMessage = "store called"

// CallLog logs each call of the store for one topic. The delays between calls bound the
// number of lines, so none is dropped.
type CallLog struct {
	logger zerolog.Logger
	topic  string
}

// NewCallLog returns the log of the calls for a topic.
func NewCallLog(logger zerolog.Logger, topic Topic) CallLog {
	return CallLog{logger: logger, topic: topic.Name()}
}

// Log logs a call that was sent at sent and ended with err.
func (l CallLog) Log(ctx context.Context, purpose Purpose, sent time.Time, err error) {
	l.logger.Info().Str("topic", l.topic).Str("purpose", string(purpose)).Str("outcome", string(outcomeOf(ctx, err))).
		Dur("took_ms", time.Since(sent)).Msg("store called")
}

func outcomeOf(ctx context.Context, err error) Outcome {
	switch {
	case err == nil:
		return OutcomeDone
	case errors.Is(err, ErrExpired):
		return OutcomeExpired
	case errors.Is(ctx.Err(), context.Canceled):
		return OutcomeEnded
	}
	return OutcomeFailed
}
