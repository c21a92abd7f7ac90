package bench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/policy"
	"github.com/galenagrade/galenagrade/internal/server"
	"github.com/galenagrade/galenagrade/internal/settings"
	"github.com/galenagrade/galenagrade/internal/standin/link"
	"github.com/galenagrade/galenagrade/internal/standin/logd"
)

const (
	// controlSettle is how long nothing must have been appended before nodes
	// are measured: zones have their readers by then, keys their owners.
	controlSettle = 12 * time.Second
	// settleLimit bounds the wait for that.
	settleLimit = 4 * time.Minute
	// controlLimit bounds each wait for the nodes.
	controlLimit = time.Minute
	// controlPoll is how often a state awaited is looked at.
	controlPoll = 2 * time.Millisecond
	// packetBytes is what a TCP segment adds over IPv4 with time stamps.
	packetBytes = 52
)

// ControlOptions say what is measured.
type ControlOptions struct {
	// Members is the number of nodes, Zones in how many availability zones.
	Members, Zones int
	// Duration is how long the nodes are measured at rest.
	Duration time.Duration
	// ChangeEvery is the time between two publications while they are; 0 for
	// none.
	ChangeEvery time.Duration
	// Changes is how many publications are timed afterwards, of each kind.
	Changes int
}

// ControlResult are the figures of one run. Bytes are those of the connections
// between nodes and to the log, HTTP and its headers included.
type ControlResult struct {
	Members int `json:"members"`
	Zones   int `json:"zones"`
	// Settled is how long after the start the last record was appended that
	// had to do with it.
	Settled float64 `json:"settled_seconds"`
	// SentBytes is what a node sends a second to other nodes; it receives as
	// much on average.
	SentBytes float64 `json:"sent_bytes_per_second_per_node"`
	// WireBytes is what it sends and receives.
	WireBytes float64 `json:"sent_and_received_bytes_per_second_per_node"`
	// PacketBytes is WireBytes with an estimate for TCP and IP: a header for
	// each write, and one for its acknowledgement.
	PacketBytes float64 `json:"with_tcp_ip_estimate_bytes_per_second_per_node"`
	LogBytes    float64 `json:"log_bytes_per_second_per_node"`
	Messages    float64 `json:"messages_per_second_per_node"`
	Exchanges   float64 `json:"exchanges_per_second_per_node"`
	Probes      float64 `json:"probes_per_second_per_node"`
	Dials       float64 `json:"dials_per_second_per_node"`
	LogReads    float64 `json:"log_reads_per_second"`
	LogAppends  float64 `json:"log_appends_per_second"`
	// ProofAge is the age of the newest proof of the log's head: the median
	// of all nodes and samples, and the oldest.
	ProofAge    float64 `json:"proof_age_ms_median"`
	ProofOldest float64 `json:"proof_age_ms_oldest"`
	// CPU is of one core; the whole process, log and harness included, over
	// the members.
	CPU       float64 `json:"cpu_percent_per_node"`
	HeapBytes float64 `json:"heap_bytes_per_node"`
	// Resident is the process's memory over its members.
	Resident float64 `json:"resident_bytes_per_node"`
	// Accepted is the time from the append to the worst node that has the
	// configuration in force; AcceptedOut the same when the log goes out as
	// soon as the first node has it.
	Accepted    []float64 `json:"config_ms_worst_node_log_up"`
	AcceptedOut []float64 `json:"config_ms_worst_node_log_out"`
}

// traffic counts the bytes of all connections that nodes dialled.
type traffic struct{ bytes, packets, dials atomic.Int64 }

type countedConn struct {
	net.Conn
	to *traffic
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.to.count(n)
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.to.count(n)
	return n, err
}

func (t *traffic) count(n int) {
	if n > 0 {
		t.bytes.Add(int64(n))
		t.packets.Add(1)
	}
}

func (t *traffic) dial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		t.dials.Add(1)
		return countedConn{Conn: c, to: t}, nil
	}
}

// controlWorld is many nodes without calls.
type controlWorld struct {
	opts    ControlOptions
	log     *logd.Server
	http    *http.Server
	url     string
	network *link.Network
	nodes   []*server.Server
	peers   traffic
	logs    traffic
	changes int
}

// MeasureControl runs nodes without calls and measures what control costs.
func MeasureControl(opts ControlOptions) (ControlResult, error) {
	if opts.Members < 1 || opts.Zones < 1 || opts.Members < opts.Zones {
		return ControlResult{}, errors.Errorf("members = %d, zones = %d: at least one member a zone", opts.Members, opts.Zones)
	}
	w := &controlWorld{opts: opts, log: logd.New(logd.Options{}), network: link.New(func(string, string) time.Duration { return 0 })}
	defer w.close()
	if err := w.start(); err != nil {
		return ControlResult{}, err
	}
	settled := w.settle()
	result := w.atRest()
	result.Settled = settled.Seconds()
	err := w.timeChanges(&result)
	return result, err
}

func (w *controlWorld) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "log")
	}
	w.url = "http://" + l.Addr().String()
	w.http = &http.Server{Handler: w.log.Handler(), ReadHeaderTimeout: controlLimit}
	go func() { _ = w.http.Serve(l) }()
	if _, err := w.publish(); err != nil {
		return err
	}
	for i := range w.opts.Members {
		if err := w.startNode(i); err != nil {
			return err
		}
	}
	return w.await("all members known", func() bool {
		for _, n := range w.nodes {
			if len(n.LiveMembers()) < w.opts.Members || n.Node().Policy().Version() == 0 {
				return false
			}
		}
		return true
	})
}

// settle waits until nothing is appended any more and returns how long that
// took.
func (w *controlWorld) settle() time.Duration {
	began := time.Now()
	last, since := w.log.Appends(), began
	for time.Since(since) < controlSettle && time.Since(began) < settleLimit {
		time.Sleep(controlPoll)
		if now := w.log.Appends(); now != last {
			last, since = now, time.Now()
		}
	}
	return since.Sub(began)
}

func (w *controlWorld) startNode(i int) error {
	cfg := settings.Defaults()
	cfg.NodeID = fmt.Sprintf("node-%04d", i)
	cfg.Region = "r"
	cfg.Zone = fmt.Sprintf("z%02d", i%w.opts.Zones)
	cfg.Callers.Address, cfg.Upstream.Address = "127.0.0.1:0", "127.0.0.1:0"
	cfg.Inner.Address, cfg.Inner.Advertised = "127.0.0.1:0", "127.0.0.1:0"
	cfg.Admin.Address = "127.0.0.1:0"
	// The upstream is announced once and stands still.
	cfg.Timing.UpstreamSilence = settings.Duration(time.Hour)
	transport := &http.Transport{DialContext: w.logs.dial((&net.Dialer{}).DialContext)}
	n, err := server.Start(cfg, server.Options{
		Log:    logstore.NewClient(w.url, logstore.ClientOptions{HTTP: &http.Client{Transport: transport}}),
		Dial:   w.peers.dial(w.network.Dialer(cfg.Zone)),
		Logger: zerolog.Nop(),
	})
	if err != nil {
		return err
	}
	w.nodes = append(w.nodes, n)
	_, exit, inner, _ := n.Addresses()
	w.network.SetLocation(inner, cfg.Zone)
	body := fmt.Sprintf(`{"service":"s%d","address":"127.0.0.1:9","slots":10}`, i%max(1, w.opts.Members/8))
	req, err := http.NewRequest(http.MethodPut, "http://"+exit+"/v1/upstream", strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (w *controlWorld) await(what string, ok func() bool) error {
	for end := time.Now().Add(controlLimit); time.Now().Before(end); time.Sleep(controlPoll) {
		if ok() {
			return nil
		}
	}
	return errors.Errorf("%s: not within %s", what, controlLimit)
}

// publish appends a change of configuration of about 1 KB and returns the
// version that holds it.
func (w *controlWorld) publish() (policy.Version, error) {
	w.changes++
	t := policy.Library()[0]
	t.Name = fmt.Sprintf("template-%d", w.changes)
	pub := policy.Publication{ID: fmt.Sprintf("change-%d", w.changes), Author: "bench", Template: &t}
	rec, err := pub.Record(time.Now())
	if err != nil {
		return 0, err
	}
	at, err := w.log.Append(context.Background(), []logstore.Record{rec})
	return policy.Version(at + 1), err
}

func (w *controlWorld) close() {
	for _, n := range w.nodes {
		n.Kill()
	}
	if w.http != nil {
		_ = w.http.Close()
	}
}
