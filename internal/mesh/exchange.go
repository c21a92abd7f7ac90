package mesh

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/fleet"
)

const (
	// introductionPath is where a node takes another one's record and answers with
	// its own.
	introductionPath = "/introduction"
	// membersPath is where a node gives the records that it knows to others.
	membersPath = "/members"
	// introductionTimeout bounds one introduction within the zone.
	introductionTimeout = 300 * time.Millisecond
	// maxMembersBytes bounds records taken from another node: 14,000 of some 250
	// bytes, twice.
	maxMembersBytes = 8 << 20
)

// exchangeRecords gives the node's own record to another node and returns that
// one's.
func (m *Mesh) exchangeRecords(ctx context.Context, address string) (fleet.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, introductionTimeout)
	defer cancel()
	own := m.publisher.newest()
	raw, err := own.Encode()
	if err != nil {
		return fleet.Member{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+introductionPath, bytes.NewReader(raw))
	if err != nil {
		return fleet.Member{}, err
	}
	reply, err := m.sendControl(req, fleet.MaxMemberBytes)
	if err != nil {
		return fleet.Member{}, err
	}
	return fleet.DecodeMember(reply)
}

// statusError is an answer of another node that is not the one asked for.
type statusError struct{ status int }

// Error implements error.
func (e *statusError) Error() string { return fmt.Sprintf("status %d", e.status) }

// sendControl sends a question to another node and returns the answer's body.
func (m *Mesh) sendControl(req *http.Request, maxBytes int64) ([]byte, error) {
	req.Header.Set("User-Agent", "") // omitted then
	resp, err := m.servers.control.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, &statusError{resp.StatusCode}
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxBytes))
}

// serveIntroduction takes another node's record and answers with this one's. A
// node that lacks routes or records fetches them there.
func (m *Mesh) serveIntroduction(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, fleet.MaxMemberBytes))
	if err != nil {
		http.Error(w, "record unreadable", http.StatusBadRequest)
		return
	}
	record, err := fleet.DecodeMember(raw)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.members.learn(record)
	if m.routes.Version() == 0 || !m.members.isInitialized() {
		m.routes.fetch(record.Address)
	}
	own := m.publisher.newest()
	m.sendJSON(w, &own)
}

// serveMembers gives the records known here to other nodes.
func (m *Mesh) serveMembers(w http.ResponseWriter, _ *http.Request) { m.sendJSON(w, m.members.all()) }

// omitUnusedHeaders leaves out what another node has no use for. Answers that say that nothing
// changed are most of what nodes send each other at rest.
func omitUnusedHeaders(w http.ResponseWriter) {
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
}

func (m *Mesh) sendJSON(w http.ResponseWriter, body any) {
	if _, set := w.Header()["Content-Type"]; !set {
		w.Header().Set("Content-Type", "application/json")
	}
	if err := json.NewEncoder(w).Encode(body); err != nil {
		m.logger.Warn().Err(err).Msg("answer to another node not sent")
	}
}

// fetchMembers takes over what another node knows. Records are folded: older
// ones change nothing.
func (m *Mesh) fetchMembers(ctx context.Context, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+membersPath, nil)
	if err != nil {
		return err
	}
	raw, err := m.sendControl(req, maxMembersBytes)
	if err != nil {
		return err
	}
	var records []fleet.Member
	if err := json.Unmarshal(raw, &records); err != nil {
		return errors.Wrap(err, "records of another node")
	}
	m.members.mergeRecords(records, address)
	return nil
}
