package mesh

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/records"
	"github.com/galenagrade/galenagrade/internal/wait"
)

const (
	// recordPath is the path at which a node receives the record of another node of its zone, to write
	// it to the store.
	recordPath = "/record"
	// throughZoneTimeout bounds a write through another node. The node's own write follows if it fails.
	throughZoneTimeout = records.GroupDelay + 400*time.Millisecond
	// failedWriterPause is how long a node that failed to write a record is not asked again.
	failedWriterPause = 10 * time.Second
)

// zoneWriter writes the node's own record through the node that reads the store for the zone.
type zoneWriter struct {
	mesh *Mesh
	// failed is the node that last failed to write a record, and failedAt is when it did. Only the
	// publisher's goroutine accesses them.
	failed   string
	failedAt time.Time
}

// write writes a record through the zone's reader, or to the store itself if this node is the reader or
// the reader does not write it. The record of the node's previous process is read before it is replaced.
func (z *zoneWriter) write(ctx context.Context, write records.Write) error {
	m := z.mesh
	if !m.cfg.FirstStart && !m.members.isOwnZoneRead() {
		if err := m.readZone(ctx); err != nil {
			return err
		}
	}
	reader, other := fleet.ZoneReader(m.cfg.NodeID, m.members.zoneNeighbours(m.cfg))
	if other && z.writeThrough(ctx, &reader, write) {
		return nil
	}
	return m.groupWriter.Write(ctx, write)
}

// writeThrough reports whether another node wrote a record.
func (z *zoneWriter) writeThrough(ctx context.Context, reader *fleet.Member, write records.Write) bool {
	if reader.Node == z.failed && time.Since(z.failedAt) < failedWriterPause {
		return false
	}
	err := z.send(ctx, reader.Address, write)
	if err == nil {
		return true
	}
	z.failed, z.failedAt = reader.Node, time.Now()
	z.mesh.logger.Debug().Str("member", reader.Node).Err(err).Msg("own member record not written through another node; it is written to the store")
	return false
}

// send has another node write a record. A node that can't be reached may be starting as well, and is
// tried again within throughZoneTimeout.
func (z *zoneWriter) send(ctx context.Context, address string, write records.Write) error {
	ctx, cancel := context.WithTimeout(ctx, throughZoneTimeout)
	defer cancel()
	for {
		err := z.mesh.sendRecord(ctx, address, write)
		if err == nil || ctx.Err() != nil || errors.As(err, new(*statusError)) {
			return err
		}
		wait.For(ctx, records.StartingSourcePause)
	}
}

// sendRecord has another node write a record.
func (m *Mesh) sendRecord(ctx context.Context, address string, write records.Write) error {
	raw, err := json.Marshal(write)
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
	var write records.Write
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*fleet.MaxMemberBytes)).Decode(&write); err != nil {
		http.Error(w, "record could not be decoded", http.StatusBadRequest)
		return
	}
	record, err := fleet.DecodeMember(write.Value, time.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	foreign := func(key string) bool { return !isKeyOfNode(key, &record) || key == write.Key }
	if write.Key != memberKey(&record) || record.Region != m.cfg.Region || record.Zone != m.cfg.Zone || slices.ContainsFunc(write.Replaces, foreign) {
		http.Error(w, "record is not that of a node of this zone", http.StatusBadRequest)
		return
	}
	m.members.applyMember(record)
	if err := m.groupWriter.Write(r.Context(), write); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
