package mesh

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"
)

// Purpose is why a node calls the store.
type Purpose string

const (
	// PurposeStart is a read of all keys by a node that knows nothing yet.
	PurposeStart Purpose = "start"
	// PurposeExpired is a read of all keys after records expired before they were read.
	PurposeExpired Purpose = "expired"
	// PurposeChanges is a read that waits for what comes next.
	PurposeChanges Purpose = "changes"
	// PurposeOwnRecord is a write of the node's own record.
	PurposeOwnRecord Purpose = "own_record"
	// PurposeCrash is a write of the requests that ran when an upstream died.
	PurposeCrash Purpose = "crash"
)

// Outcome is how a call of the store ended.
type Outcome string

const (
	// OutcomeDone is a call that was answered as asked.
	OutcomeDone Outcome = "done"
	// OutcomeExpired is a read of records that are kept no more.
	OutcomeExpired Outcome = "expired"
	// OutcomeEnded is a call that the node itself ended: it stops or reads elsewhere.
	OutcomeEnded Outcome = "ended"
	// OutcomeFailed is a call that was refused or not answered.
	OutcomeFailed Outcome = "failed"
)

// StoreCallMessage is the message of the line that each call of the store writes.
const StoreCallMessage = "store called"

// storeCallLog writes a line for each call of the store through one topic. The pauses between
// calls bound their number, so none is left out.
type storeCallLog struct {
	logger zerolog.Logger
	topic  string
}

// log notes a call that was sent then.
func (l storeCallLog) log(ctx context.Context, purpose Purpose, sent time.Time, err error) {
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
