package mesh

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/overview"
	"github.com/galenagrade/galenagrade/internal/settings"
	"github.com/galenagrade/galenagrade/internal/wait"
)

const (
	// overviewPath is the path at which a node receives the reports of other nodes of its zone.
	overviewPath = "/overview"
	// overviewTimeout bounds one report or exchange of sums, which are answered from memory.
	overviewTimeout = 250 * time.Millisecond
	// headerBytes is an estimate of the HTTP headers of a report and its answer in bytes.
	headerBytes = 250
	// maxOverviewBytes bounds a message in bytes.
	maxOverviewBytes = 256 << 10
	// maxReportAttempts is how many collectors a report is sent to in sequence. After that the node
	// collects for itself.
	maxReportAttempts = 3
	// collectorCooldown is how long a node that failed as a collector is not asked, and
	// noExchangeCooldown the same for a node of a version without the exchange.
	collectorCooldown  = 2 * time.Second
	noExchangeCooldown = 10 * time.Second
	// loadSamplesPerReport is how often the load of the upstream is sampled for each report.
	loadSamplesPerReport = 10
	// minViewLifetime and viewLifetime bound the age of a view that is used: for viewLifetime
	// intervals of reports, at least minViewLifetime.
	minViewLifetime = 3 * time.Second
	viewLifetime    = 4
)

// overviewSource fills its part of a node's report.
type overviewSource interface {
	fillReport(now time.Time, r *overview.Report)
}

// overviewConsumer receives each new view of the deployment; nil when there is none that is recent
// enough. It must not block or modify the view.
type overviewConsumer interface {
	viewChanged(now time.Time, v *overview.View)
}

// overviewExchange reports to the collector of the zone, and collects the reports of other nodes.
//
// Sources fill a report in the order of the list, so that those after ownLoad find Report.Upstream set
// while the upstream serves. Sources and consumers are called by one goroutine.
type overviewExchange struct {
	mesh      *Mesh
	zone      string
	sources   []overviewSource
	consumers []overviewConsumer
	// current is the last view; nil if there is none.
	current atomic.Pointer[overview.View]
	// asked is the name of the node that the last view came from.
	asked atomic.Value

	// The following fields are used by the goroutine of runReports only.
	sequence  uint64
	cooldowns cooldowns
	hasView   bool
	names     workspaceNames
	// lastBytes is the size of the last report with its answer.
	lastBytes int

	mu        sync.Mutex
	collector *overview.Collector
}

func newOverviewExchange(m *Mesh) *overviewExchange {
	zone := zoneName(m.cfg.Region, m.cfg.Zone)
	uneven := &unevenLoad{mesh: m, isNormal: true}
	return &overviewExchange{
		mesh: m, zone: zone, collector: overview.NewCollector(zone), cooldowns: cooldowns{},
		sources:   []overviewSource{newOwnLoad(m), uneven, m.shares},
		consumers: []overviewConsumer{uneven, m.shares, m.zoneBalance},
	}
}

// exchangeWanted reports whether a setting in force needs the overview. workspaces is the number of
// workspaces in the configuration, and zones that of the availability zones.
func exchangeWanted(s *settings.Mesh, workspaces, zones int) bool {
	if s.Balance.HandBack || s.Balance.Speeds {
		return true
	}
	return s.Balance.Zones && zones > 1 || s.Shares.Enabled && workspaces > 1
}

func (x *overviewExchange) wanted() bool {
	workspaces := 0
	if table := x.mesh.proxy.Routes(); table != nil {
		workspaces = len(table.Config().Workspaces)
	}
	return exchangeWanted(x.mesh.Settings(), workspaces, x.mesh.members.zones(x.mesh.cfg))
}

// interval returns the time between two reports.
func (x *overviewExchange) interval() time.Duration {
	return overview.ReportInterval(len(x.mesh.members.zoneNeighbours(x.mesh.cfg)) + 1)
}

// pacedInterval returns the time between two reports of this node, by the bytes that the last one took.
func (x *overviewExchange) pacedInterval() time.Duration {
	return overview.PacedInterval(len(x.mesh.members.zoneNeighbours(x.mesh.cfg))+1, x.lastBytes)
}

// Current returns the newest view; nil if there is none that is recent enough.
func (x *overviewExchange) Current(now time.Time) *overview.View {
	v := x.current.Load()
	if v == nil || now.Sub(v.ReceivedAt) > max(minViewLifetime, viewLifetime*x.interval()) {
		return nil
	}
	return v
}

// OverviewState is a node's view of the demand and capacity of all zones.
type OverviewState struct {
	// Collector is the node that the view came from, and Collecting reports whether other nodes report
	// to this one.
	Collector  string `json:"collector"`
	Collecting bool   `json:"collecting"`
	// AgeMillis is the time since the view was received, in milliseconds.
	AgeMillis int64 `json:"age_ms"`
	// Ignored is the number of invalid or outdated messages of other nodes.
	Ignored int64 `json:"ignored"`
	// View is the view; that of a collector contains all services of its zone.
	View *overview.View `json:"view"`
}

// ageMillis returns the age of the last view in milliseconds; -1 if there is none.
func (x *overviewExchange) ageMillis() int64 {
	v := x.current.Load()
	if v == nil {
		return -1
	}
	return time.Since(v.ReceivedAt).Milliseconds()
}

// state returns the view that is in force, or nil.
func (x *overviewExchange) state(now time.Time) *OverviewState {
	v := x.Current(now)
	if v == nil {
		return nil
	}
	s := &OverviewState{AgeMillis: now.Sub(v.ReceivedAt).Milliseconds(), View: v}
	s.Collector, _ = x.asked.Load().(string)
	x.mu.Lock()
	defer x.mu.Unlock()
	s.Collecting, s.Ignored = x.collector.Collecting(now), x.collector.Ignored()
	if s.Collecting {
		s.View = x.collector.View(now)
		var names workspaceNames
		s.View.NameWorkspaces(names.of(x.mesh.proxy.Routes()))
	}
	return s
}

// runReports sends a report in each interval.
func (x *overviewExchange) runReports(ctx context.Context) {
	for ctx.Err() == nil {
		interval := x.pacedInterval()
		for range loadSamplesPerReport {
			wait.For(ctx, time.Duration((0.9+0.2*rand.Float64())*float64(interval)/loadSamplesPerReport))
			x.sample()
		}
		if ctx.Err() != nil {
			return
		}
		if x.wanted() {
			x.report(ctx, interval)
		} else {
			x.current.Store(nil)
		}
		x.publish()
	}
}

// overviewSampler is a source that needs more samples than one for each report.
type overviewSampler interface{ sample(now time.Time) }

func (x *overviewExchange) sample() {
	for _, s := range x.sources {
		if sampler, ok := s.(overviewSampler); ok {
			sampler.sample(time.Now())
		}
	}
}

// publish passes the view to the consumers, and nil once when there is none any longer.
func (x *overviewExchange) publish() {
	now := time.Now()
	v := x.Current(now)
	if v == nil && !x.hasView {
		return
	}
	x.hasView = v != nil
	for _, c := range x.consumers {
		c.viewChanged(now, v)
	}
}

func (x *overviewExchange) newReport(interval time.Duration) *overview.Report {
	x.sequence++
	r := &overview.Report{
		Node:           x.mesh.cfg.NodeID,
		Zone:           x.zone,
		Incarnation:    x.mesh.node.Incarnation(),
		Sequence:       x.sequence,
		IntervalMillis: interval.Milliseconds(),
	}
	now := time.Now()
	for _, s := range x.sources {
		s.fillReport(now, r)
	}
	r.SetKnown(x.current.Load())
	r.Trim()
	return r
}

// report sends a report to the first collector that answers. A node that no other precedes in the
// order of the zone, or that reaches none of them, adds the report to its own sums.
func (x *overviewExchange) report(ctx context.Context, interval time.Duration) {
	r := x.newReport(interval)
	serving := x.mesh.publisher.Newest().State == fleet.Serving
	candidates := fleet.Collectors(x.mesh.cfg.NodeID, serving, x.mesh.members.zoneNeighbours(x.mesh.cfg))
	for _, c := range x.cooldowns.available(candidates, maxReportAttempts) {
		v, err := x.send(ctx, &c, r)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			x.accept(c.Node, v)
			return
		}
		x.mesh.metrics.Inc(metrics.OverviewReportFailures, 1)
		x.cooldowns.start(c.Node, err)
		x.mesh.rateLimited.Debug().Str("member", c.Node).Err(err).Msg("report to the zone's collector failed; the next node is asked")
	}
	x.accept(x.mesh.cfg.NodeID, x.collect(r.WithIDs()))
}

// accept puts a view in force.
func (x *overviewExchange) accept(collector string, v *overview.View) {
	v.ReceivedAt = time.Now()
	v.NameWorkspaces(x.names.of(x.mesh.proxy.Routes()))
	v.KeepFrom(x.Current(v.ReceivedAt), v.ReceivedAt)
	x.current.Store(v)
	x.mesh.metrics.Inc(metrics.OverviewReports, 1)
	if previous, _ := x.asked.Swap(collector).(string); previous != collector {
		x.mesh.logger.Info().Str("member", collector).Int("zones", len(v.Zones)).Msg("collector of the zone's reports changed")
	}
}

// collect adds a report to the sums of this node and returns the view for it.
func (x *overviewExchange) collect(r *overview.Report) *overview.View {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	if err := x.collector.Add(now, r); err != nil {
		x.mesh.rateLimited.Debug().Str("member", r.Node).Err(err).Msg("report of a node ignored")
	}
	return x.collector.Answer(now, r)
}

func (x *overviewExchange) send(ctx context.Context, to *fleet.Member, r *overview.Report) (*overview.View, error) {
	message := r.Encode()
	raw, err := x.post(ctx, to, overviewPath, message)
	if err != nil {
		return nil, err
	}
	x.lastBytes = len(message) + len(raw) + headerBytes
	v, err := overview.DecodeView(raw, r)
	if err != nil {
		return nil, errors.Wrap(err, "decode view of the collector")
	}
	return v, v.Validate()
}

// post sends a message to another node and returns the body of the response.
func (x *overviewExchange) post(ctx context.Context, to *fleet.Member, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, overviewTimeout)
	defer cancel()
	query := url.Values{"of": {to.Node}, "store": {x.mesh.Settings().Store.Identity()}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+path+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	return x.mesh.sendControl(req, maxOverviewBytes)
}

// serveReport receives the report of another node of the zone.
func (x *overviewExchange) serveReport(w http.ResponseWriter, req *http.Request) {
	if body, ok := x.receive(w, req); ok {
		x.answer(w, body)
	}
}

// answer responds to a report with the view for its sender.
func (x *overviewExchange) answer(w http.ResponseWriter, body []byte) {
	r, err := overview.DecodeReport(body)
	if err != nil {
		x.refuse()
		http.Error(w, "report could not be decoded", http.StatusBadRequest)
		return
	}
	omitUnusedHeaders(w)
	x.respond(w, x.collect(r).EncodeFor(r))
}

// respond sends a message as the response to another node.
func (x *overviewExchange) respond(w http.ResponseWriter, message []byte) {
	if _, err := w.Write(message); err != nil {
		x.mesh.rateLimited.Debug().Err(err).Msg("view or sum not sent; the other node asks again")
	}
}

// receive reads a message that is meant for this node, or responds with an error.
func (x *overviewExchange) receive(w http.ResponseWriter, req *http.Request) (body []byte, ok bool) {
	if mismatch := x.mesh.checkRecipient(req.URL.Query()); mismatch != nil {
		http.Error(w, mismatch.Error(), mismatch.status)
		return nil, false
	}
	if x.mesh.stopping.Load() || !x.wanted() {
		http.Error(w, "this node collects no reports", http.StatusServiceUnavailable)
		return nil, false
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxOverviewBytes))
	if err != nil {
		http.Error(w, "message could not be read", http.StatusBadRequest)
		return nil, false
	}
	return body, true
}
