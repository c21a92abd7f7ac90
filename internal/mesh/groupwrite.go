package mesh

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/wait"
)

const (
	// recordPath is the path at which a node receives the record of another node of its zone, to write
	// it to the store.
	recordPath = "/record"
	// groupDelay is how long records are collected for one append. After a power loss the nodes of a
	// zone start within some hundred milliseconds.
	groupDelay = 100 * time.Millisecond
	// maxGroupItems bounds the records of one append, so that it stays within the size of one call.
	maxGroupItems = 256
	// throughZoneTimeout bounds a write through another node. The node's own write follows if it fails.
	throughZoneTimeout = groupDelay + 400*time.Millisecond
	// failedWriterPause is how long a node that failed to write a record is not asked again.
	failedWriterPause = 10 * time.Second
)

// groupWriter writes records to a topic, those of a short period in one append.
//
// Load pattern: all nodes of a zone start at the same time, each with a record of its own.
type groupWriter struct {
	// ctx is canceled when the node stops.
	ctx context.Context
	put func(ctx context.Context, items []Item) error

	mu sync.Mutex
	// open is the group that further records join; nil if none does.
	open *writeGroup
}

// writeGroup is the records of one append.
type writeGroup struct {
	items []Item
	// written is closed after the append; err is its result.
	written chan struct{}
	err     error
}

// write writes a record and returns when the store has it.
func (w *groupWriter) write(ctx context.Context, item Item) error {
	group := w.join(item)
	select {
	case <-group.written:
		return group.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join adds a record to the open group, or opens one.
func (w *groupWriter) join(item Item) *writeGroup {
	w.mu.Lock()
	defer w.mu.Unlock()
	group := w.open
	if group == nil {
		group = &writeGroup{written: make(chan struct{})}
		w.open = group
		time.AfterFunc(groupDelay, func() { w.append(group) })
	}
	group.items = append(group.items, item)
	if len(group.items) >= maxGroupItems {
		w.open = nil
	}
	return group
}

// append writes the records of a group, which none joins any more.
func (w *groupWriter) append(group *writeGroup) {
	w.mu.Lock()
	if w.open == group {
		w.open = nil
	}
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(w.ctx, storeCallTimeout)
	defer cancel()
	group.err = w.put(ctx, group.items)
	close(group.written)
}

// zoneWriter writes the node's own record through the node that reads the store for the zone.
type zoneWriter struct {
	mesh *Mesh
	// failed is the node that last failed to write a record, and failedAt is when it did. Only the
	// publisher's goroutine accesses them.
	failed   string
	failedAt time.Time
}

// write writes a record through the zone's reader, or to the store itself if this node is the reader or
// the reader does not write it.
func (z *zoneWriter) write(ctx context.Context, item Item) error {
	m := z.mesh
	reader, other := fleet.ZoneReader(m.cfg.NodeID, m.members.zoneNeighbours(m.cfg))
	if other && z.writeThrough(ctx, &reader, item) {
		return nil
	}
	return m.groupWriter.write(ctx, item)
}

// writeThrough reports whether another node wrote a record.
func (z *zoneWriter) writeThrough(ctx context.Context, reader *fleet.Member, item Item) bool {
	if reader.Node == z.failed && time.Since(z.failedAt) < failedWriterPause {
		return false
	}
	err := z.send(ctx, reader.Address, item)
	if err == nil {
		return true
	}
	z.failed, z.failedAt = reader.Node, time.Now()
	z.mesh.logger.Debug().Str("member", reader.Node).Err(err).Msg("own member record not written through another node; it is written to the store")
	return false
}

// send has another node write a record. A node that can't be reached may be starting as well, and is
// tried again within throughZoneTimeout.
func (z *zoneWriter) send(ctx context.Context, address string, item Item) error {
	ctx, cancel := context.WithTimeout(ctx, throughZoneTimeout)
	defer cancel()
	for {
		err := z.mesh.sendRecord(ctx, address, item)
		if err == nil || ctx.Err() != nil || errors.As(err, new(*statusError)) {
			return err
		}
		wait.For(ctx, startingSourcePause)
	}
}

// sendRecord has another node write a record.
func (m *Mesh) sendRecord(ctx context.Context, address string, item Item) error {
	raw, err := json.Marshal(item)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+recordPath, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	_, err = m.sendControl(req, fleet.MaxMemberBytes)
	return err
}

// serveRecord writes the record of another node of the zone and responds when the store has it.
func (m *Mesh) serveRecord(w http.ResponseWriter, r *http.Request) {
	var item Item
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*fleet.MaxMemberBytes)).Decode(&item); err != nil {
		http.Error(w, "record could not be decoded", http.StatusBadRequest)
		return
	}
	record, err := fleet.DecodeMember(item.Value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if item.Key != memberKey(&record) || record.Region != m.cfg.Region || record.Zone != m.cfg.Zone {
		http.Error(w, "record is not that of a node of this zone", http.StatusBadRequest)
		return
	}
	m.members.applyMember(record)
	if err := m.groupWriter.write(r.Context(), item); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
