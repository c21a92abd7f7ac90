package records

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
)

// Guards against calls of the store that are missing from the counts by purpose and outcome.
func TestStoreCallsAreLogged(t *testing.T) {
	ended, end := context.WithCancel(t.Context())
	end()
	for _, x := range []struct {
		ctx  context.Context
		err  error
		want Outcome
	}{
		{t.Context(), nil, OutcomeDone},
		{t.Context(), errors.Wrap(ErrExpired, "read"), OutcomeExpired},
		{ended, errors.New("canceled"), OutcomeEnded},
		{t.Context(), errors.New("refused"), OutcomeFailed},
	} {
		var out bytes.Buffer
		CallLog{zerolog.New(&out), "routes"}.Log(x.ctx, PurposeChanges, time.Now(), x.err)
		var line struct {
			Message, Topic string
			Purpose        Purpose
			Outcome        Outcome
		}
		must.NoError(t, json.Unmarshal(out.Bytes(), &line))
		must.EqOp(t, StoreCallMessage, line.Message)
		must.EqOp(t, "routes", line.Topic)
		must.EqOp(t, PurposeChanges, line.Purpose)
		must.EqOp(t, x.want, line.Outcome)
	}
}
