package bench

import (
	"context"
	"time"

	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/standin/link"
)

// platformPlace is where the log is.
const platformPlace = "platform"

// cutLogDelay is how long a request to a log out of reach takes to fail.
const cutLogDelay = 200 * time.Millisecond

// vmLog is the log as one VM reaches it: out of reach while the zone is cut
// off, standing still while the VM is paused.
type vmLog struct {
	log     logstore.Log
	network *link.Network
	zone    string
	gate    *gate
}

var _ logstore.Log = (*vmLog)(nil)

// pass is taken by a request on its way and by the answer on its way back.
func (l *vmLog) pass(ctx context.Context) error {
	if err := l.gate.wait(ctx); err != nil {
		return &logstore.UnavailableError{Cause: err}
	}
	if !l.network.IsPartitioned(l.zone, platformPlace) {
		return nil
	}
	select {
	case <-time.After(cutLogDelay):
	case <-ctx.Done():
	}
	return &logstore.UnavailableError{Cause: link.ErrPartitioned}
}

// Append implements logstore.Log. When the cut comes before the answer does,
// the append took effect and its writer can't know.
func (l *vmLog) Append(ctx context.Context, records []logstore.Record) (int64, error) {
	if err := l.pass(ctx); err != nil {
		return 0, err
	}
	first, err := l.log.Append(ctx, records)
	if lost := l.pass(ctx); lost != nil {
		return 0, &logstore.UncertainError{Cause: lost}
	}
	return first, err
}

// Read implements logstore.Log.
func (l *vmLog) Read(ctx context.Context, from int64, max int, wait time.Duration) (logstore.Page, error) {
	if err := l.pass(ctx); err != nil {
		return logstore.Page{}, err
	}
	page, err := l.log.Read(ctx, from, max, wait)
	if lost := l.pass(ctx); lost != nil {
		return logstore.Page{}, lost
	}
	return page, err
}

// Head implements logstore.Log.
func (l *vmLog) Head(ctx context.Context) (int64, error) {
	if err := l.pass(ctx); err != nil {
		return 0, err
	}
	head, err := l.log.Head(ctx)
	if lost := l.pass(ctx); lost != nil {
		return 0, lost
	}
	return head, err
}
