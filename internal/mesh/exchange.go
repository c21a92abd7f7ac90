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
	// introductionPath is the path at which a node receives another node's record and responds
	// with its own.
	introductionPath = "/introduction"
	// membersPath is the path at which a node serves all member records that it has.
	membersPath = "/members"
	// introductionTimeout bounds one introduction within the zone.
	introductionTimeout = 300 * time.Millisecond
	// maxMembersBytes bounds the records fetched from another node: twice the size of 14,000
	// records of some 250 bytes each.
	maxMembersBytes = 8 << 20
)

// exchangeRecords sends the node's own record to another node and returns that node's record.
func (m *Mesh) exchangeRecords(ctx context.Context, address string) (fleet.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, introductionTimeout)
	defer cancel()
	own := m.publisher.Newest()
	raw, err := own.Encode()
	if err != nil {
		return fleet.Member{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+introductionPath, bytes.NewReader(raw))
	if err != nil {
		return fleet.Member{}, err
	}
	response, err := m.sendControl(req, fleet.MaxMemberBytes)
	if err != nil {
		return fleet.Member{}, err
	}
	return fleet.DecodeMember(response, time.Now())
}

// statusError is a response of another node with a status other than 200.
type statusError struct{ status int }

// Error implements error.
func (e *statusError) Error() string { return fmt.Sprintf("node responded with status %d", e.status) }

// sendControl sends a control request to another node and returns the body of the response, cut
// at maxBytes. A status other than 200 is a *statusError.
func (m *Mesh) sendControl(req *http.Request, maxBytes int64) ([]byte, error) {
	req.Header.Set("User-Agent", "") // an empty value omits the header
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

// serveIntroduction receives another node's record and responds with this node's. A node that
// has no routes or no member records fetches them from the sender.
func (m *Mesh) serveIntroduction(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, fleet.MaxMemberBytes))
	if err != nil {
		http.Error(w, "member record could not be read", http.StatusBadRequest)
		return
	}
	record, err := fleet.DecodeMember(raw, time.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.members.applyMember(record)
	if m.routes.Version() == 0 || !m.members.isInitialized() {
		m.routes.fetch(record.Address)
	}
	own := m.publisher.Newest()
	m.sendJSON(w, &own)
}

// serveMembers serves all member records of this node.
func (m *Mesh) serveMembers(w http.ResponseWriter, _ *http.Request) { m.sendJSON(w, m.members.all()) }

// omitUnusedHeaders omits response headers that other nodes don't use. Responses that report no
// change make up most of the traffic between idle nodes.
func omitUnusedHeaders(w http.ResponseWriter) {
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
}

func (m *Mesh) sendJSON(w http.ResponseWriter, body any) {
	if _, set := w.Header()["Content-Type"]; !set {
		w.Header().Set("Content-Type", "application/json")
	}
	if err := json.NewEncoder(w).Encode(body); err != nil {
		m.logger.Warn().Err(err).Msg("JSON response not sent; the requester receives an incomplete body")
	}
}

// fetchMembers fetches the member records of another node and merges them; records older than
// the known ones change nothing.
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
		return errors.Wrap(err, "decode records of another node")
	}
	m.members.mergeRecords(records, address)
	return nil
}
