package bench

import (
	"context"
	"time"

	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/standin/link"
)

// platformLocation is the location of the log.
const platformLocation = "platform"

// partitionErrorDelay is the time after which a request to the log fails when a
// partition separates the VM from it.
const partitionErrorDelay = 200 * time.Millisecond

// vmLog is the connection of one VM to the log. Requests fail while the VM's zone is
// partitioned from the platform, and block while the VM is paused.
type vmLog struct {
	log     logstore.Log
	network *link.Network
	zone    string
	gate    *pauseGate
}

var _ logstore.Log = (*vmLog)(nil)

// awaitPath emulates the transfer of one request or response between the VM and the
// log. It blocks while the VM is paused, and fails with ErrUnavailable if a partition
// separates the two.
func (l *vmLog) awaitPath(ctx context.Context) error {
	if err := l.gate.wait(ctx); err != nil {
		return &logstore.UnavailableError{Cause: err}
	}
	if !l.network.IsPartitioned(l.zone, platformLocation) {
		return nil
	}
	select {
	case <-time.After(partitionErrorDelay):
	case <-ctx.Done():
	}
	return &logstore.UnavailableError{Cause: link.ErrPartitioned}
}

// Append implements logstore.Log. If the partition begins after the append took
// effect and before the response, the append fails with ErrUncertain.
func (l *vmLog) Append(ctx context.Context, records []logstore.Record) (int64, error) {
	if err := l.awaitPath(ctx); err != nil {
		return 0, err
	}
	first, err := l.log.Append(ctx, records)
	if pathErr := l.awaitPath(ctx); pathErr != nil {
		return 0, &logstore.UncertainError{Cause: pathErr}
	}
	return first, err
}

// Read implements logstore.Log.
func (l *vmLog) Read(ctx context.Context, from int64, max int, wait time.Duration) (logstore.Page, error) {
	if err := l.awaitPath(ctx); err != nil {
		return logstore.Page{}, err
	}
	page, err := l.log.Read(ctx, from, max, wait)
	if pathErr := l.awaitPath(ctx); pathErr != nil {
		return logstore.Page{}, pathErr
	}
	return page, err
}

// Head implements logstore.Log.
func (l *vmLog) Head(ctx context.Context) (int64, error) {
	if err := l.awaitPath(ctx); err != nil {
		return 0, err
	}
	head, err := l.log.Head(ctx)
	if pathErr := l.awaitPath(ctx); pathErr != nil {
		return 0, pathErr
	}
	return head, err
}
