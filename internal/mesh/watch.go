package mesh

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/records"
)

const (
	// watchPath is the path at which a node serves the records that it has read of the store's
	// topics.
	watchPath = "/watch"
	// maxWatchWait bounds the wait that another node may request.
	maxWatchWait = 5 * time.Second
)

func (m *Mesh) newRelay(wait time.Duration) *records.Relay {
	return &records.Relay{
		Candidates:     func() []fleet.Member { return fleet.Sources(m.cfg.NodeID, m.members.zoneNeighbours(m.cfg)) },
		NeighbourCount: func() int { return len(m.members.zoneNeighbours(m.cfg)) },
		Fetch:          m.watch,
		Refused:        func(err error) bool { return errors.As(err, new(*statusError)) },
		Wait:           wait,
		Logger:         m.logger,
	}
}

// membersBatchWindow returns how long member changes are batched for one read of the store. A
// node that reads for its zone batches briefly, as there are few zones; a node that reads
// because no other node was available is one of many. The members follower calls it.
func (m *Mesh) membersBatchWindow() time.Duration {
	if m.membersFollower.ReadsStore() {
		return records.MinBatchWindow
	}
	return records.BatchWindowFor(m.members.count())
}

// watch requests the records from an offset of a topic on from another node.
func (m *Mesh) watch(ctx context.Context, source *fleet.Member, req records.WatchRequest) (records.Batch, error) {
	query := url.Values{
		"topic":   {req.Topic},
		"from":    {strconv.FormatInt(req.From, 10)},
		"wait_ms": {strconv.FormatInt(req.Wait.Milliseconds(), 10)},
		"of":      {source.Node},
		"store":   {m.Settings().Store.Identity()},
	}
	if req.WaitForStore {
		query.Set("patient", "true")
	}
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+source.Address+watchPath+"?"+query.Encode(), nil)
	if err != nil {
		return records.Batch{}, err
	}
	raw, err := m.sendControl(httpReq, maxMembersBytes)
	if err != nil {
		return records.Batch{}, err
	}
	var b records.Batch
	if err := json.Unmarshal(raw, &b); err != nil {
		return records.Batch{}, errors.Wrap(err, "decode records of another node")
	}
	return b, b.Validate(req.From)
}

// checkRecipient returns an error if a request of another node is not meant for this one.
//
// There are two such requests:
//   - The address of a removed VM may be assigned to the VM of this node. Requests of this node to
//     the removed node then arrive at this node itself, which would wait for its own changes without
//     end.
//   - New settings move the nodes to another store one by one, so the requester may use another
//     store than this node. The offsets of two stores are unrelated: with the larger offset of one
//     store, the requester would wait for records that the other store holds at smaller offsets.
func (m *Mesh) checkRecipient(query url.Values) *statusError {
	if query.Get("of") != m.cfg.NodeID {
		return &statusError{http.StatusMisdirectedRequest}
	}
	if query.Get("store") != m.Settings().Store.Identity() {
		return &statusError{http.StatusConflict}
	}
	return nil
}

// serveWatch serves records to a node that reads through this one.
func (m *Mesh) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not a valid offset", http.StatusBadRequest)
		return
	}
	waitMillis, err := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err != nil || waitMillis < 0 || waitMillis > maxWatchWait.Milliseconds() {
		http.Error(w, fmt.Sprintf("wait_ms must be 0 to %d", maxWatchWait.Milliseconds()), http.StatusBadRequest)
		return
	}
	if mismatch := m.checkRecipient(query); mismatch != nil {
		http.Error(w, mismatch.Error(), mismatch.status)
		return
	}
	for _, f := range []*records.Follower{m.membersFollower, m.routes.follower} {
		if f.Topic() != query.Get("topic") {
			continue
		}
		b, err := f.Serve(r.Context(), from, time.Duration(waitMillis)*time.Millisecond, query.Get("patient") == "true")
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		omitUnusedHeaders(w)
		m.sendJSON(w, &b)
		return
	}
	http.Error(w, "unknown topic name", http.StatusNotFound)
}
