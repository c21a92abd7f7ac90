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
	// controlQuietPeriod is the time without appends to the log after which the nodes
	// count as settled: then each zone has its log readers and each key its owner.
	controlQuietPeriod = 12 * time.Second
	// settleTimeout bounds the wait for the quiet period.
	settleTimeout = 4 * time.Minute
	// controlTimeout bounds each wait for a state of the nodes.
	controlTimeout = time.Minute
	// controlPollInterval is the interval at which an awaited state is checked.
	controlPollInterval = 2 * time.Millisecond
	// packetHeaderBytes is the size of the IPv4 and TCP headers of a segment, with
	// the timestamps option.
	packetHeaderBytes = 52
)

// ControlOptions configure MeasureControl.
type ControlOptions struct {
	// Members is the number of nodes, Zones the number of availability zones that
	// they are spread over.
	Members, Zones int
	// Duration is the length of the measurement of idle nodes.
	Duration time.Duration
	// ChangeEvery is the time between two publications during that measurement; 0
	// for none.
	ChangeEvery time.Duration
	// Changes is the number of publications that are timed afterwards with the log
	// up. As many again are timed during an outage of the log.
	Changes int
}

// ControlResult is the cost of the control plane in one run. Bytes are counted on the
// connections between nodes and to the log, HTTP headers included.
type ControlResult struct {
	Members int `json:"members"`
	Zones   int `json:"zones"`
	// Settled is the time, in seconds, from the moment at which every node knows all
	// members until the last append before the quiet period.
	Settled float64 `json:"settled_seconds"`
	// SentBytes is the number of bytes that a node sends to other nodes per second; on
	// average it receives as many.
	SentBytes float64 `json:"sent_bytes_per_second_per_node"`
	// WireBytes is the sum of the bytes that a node sends and receives per second.
	WireBytes float64 `json:"sent_and_received_bytes_per_second_per_node"`
	// PacketBytes is WireBytes plus an estimate for TCP and IP: one header per write
	// and one per acknowledgement.
	PacketBytes float64 `json:"with_tcp_ip_estimate_bytes_per_second_per_node"`
	LogBytes    float64 `json:"log_bytes_per_second_per_node"`
	Messages    float64 `json:"messages_per_second_per_node"`
	Exchanges   float64 `json:"exchanges_per_second_per_node"`
	Probes      float64 `json:"probes_per_second_per_node"`
	Dials       float64 `json:"dials_per_second_per_node"`
	LogReads    float64 `json:"log_reads_per_second"`
	LogAppends  float64 `json:"log_appends_per_second"`
	// HeadAge is the median age, in ms, of a node's newest observation of the log's
	// head, over all nodes and samples; MaxHeadAge is the highest.
	HeadAge    float64 `json:"proof_age_ms_median"`
	MaxHeadAge float64 `json:"proof_age_ms_oldest"`
	// CPU is the CPU time of the whole process, log and harness included, divided by
	// the number of nodes, in percent of one core.
	CPU       float64 `json:"cpu_percent_per_node"`
	HeapBytes float64 `json:"heap_bytes_per_node"`
	// Resident is the resident memory of the process divided by the number of nodes.
	Resident float64 `json:"resident_bytes_per_node"`
	// ApplyMillisLogUp are the times, in ms, from the append of a configuration change
	// until the last node applies it. ApplyMillisLogOut are the times, in ms, from the
	// start of a log outage until the last node applies the change; the outage starts
	// as soon as the first node applies it.
	ApplyMillisLogUp  []float64 `json:"config_ms_worst_node_log_up"`
	ApplyMillisLogOut []float64 `json:"config_ms_worst_node_log_out"`
}

// traffic counts the dials of the nodes, and the reads, writes and bytes on these
// connections.
type traffic struct{ bytes, packets, dials atomic.Int64 }

// countedConn counts its traffic.
type countedConn struct {
	net.Conn
	counter *traffic
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.count(n)
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.count(n)
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
		return countedConn{Conn: c, counter: t}, nil
	}
}

// controlWorld is a log and many nodes that get no calls.
type controlWorld struct {
	opts        ControlOptions
	log         *logd.Server
	http        *http.Server
	url         string
	network     *link.Network
	nodes       []*server.Server
	peerTraffic traffic
	logTraffic  traffic
	changes     int
}

// MeasureControl runs nodes without calls and measures the cost of the control plane.
func MeasureControl(opts ControlOptions) (ControlResult, error) {
	if opts.Members < 1 || opts.Zones < 1 || opts.Members < opts.Zones {
		return ControlResult{}, errors.Errorf("members = %d, zones = %d: members must be at least zones, and both at least 1", opts.Members, opts.Zones)
	}
	w := &controlWorld{opts: opts, log: logd.New(logd.Options{}), network: link.New(func(string, string) time.Duration { return 0 })}
	defer w.close()
	if err := w.start(); err != nil {
		return ControlResult{}, err
	}
	settledAfter := w.settle()
	result := w.measureIdle()
	result.Settled = settledAfter.Seconds()
	err := w.timeChanges(&result)
	return result, err
}

func (w *controlWorld) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for the log")
	}
	w.url = "http://" + l.Addr().String()
	w.http = &http.Server{Handler: w.log.Handler(), ReadHeaderTimeout: controlTimeout}
	go func() { _ = w.http.Serve(l) }()
	if _, err := w.publish(); err != nil {
		return err
	}
	for i := range w.opts.Members {
		if err := w.startNode(i); err != nil {
			return err
		}
	}
	return w.await("all nodes to know all members", func() bool {
		for _, n := range w.nodes {
			if len(n.LiveMembers()) < w.opts.Members || n.Node().Policy().Version() == 0 {
				return false
			}
		}
		return true
	})
}

// settle waits until no record has been appended for controlQuietPeriod, at most for
// settleTimeout. It returns the time from the call to the last append.
func (w *controlWorld) settle() time.Duration {
	began := time.Now()
	last, lastChange := w.log.Appends(), began
	for time.Since(lastChange) < controlQuietPeriod && time.Since(began) < settleTimeout {
		time.Sleep(controlPollInterval)
		if now := w.log.Appends(); now != last {
			last, lastChange = now, time.Now()
		}
	}
	return lastChange.Sub(began)
}

func (w *controlWorld) startNode(i int) error {
	cfg := settings.Defaults()
	cfg.NodeID = fmt.Sprintf("node-%04d", i)
	cfg.Region = "r"
	cfg.Zone = fmt.Sprintf("z%02d", i%w.opts.Zones)
	cfg.Callers.Address, cfg.Upstream.Address = "127.0.0.1:0", "127.0.0.1:0"
	cfg.Inner.Address, cfg.Inner.Advertised = "127.0.0.1:0", "127.0.0.1:0"
	cfg.Admin.Address = "127.0.0.1:0"
	// The upstream announces itself only once; a long timeout keeps it registered.
	cfg.Timing.UpstreamSilence = settings.Duration(time.Hour)
	transport := &http.Transport{DialContext: w.logTraffic.dial((&net.Dialer{}).DialContext)}
	n, err := server.Start(cfg, server.Options{
		Log:    logstore.NewClient(w.url, logstore.ClientOptions{HTTP: &http.Client{Transport: transport}}),
		Dial:   w.peerTraffic.dial(w.network.Dialer(cfg.Zone)),
		Logger: zerolog.Nop(),
	})
	if err != nil {
		return err
	}
	w.nodes = append(w.nodes, n)
	_, exitAddr, innerAddr, _ := n.Addresses()
	w.network.SetLocation(innerAddr, cfg.Zone)
	body := fmt.Sprintf(`{"service":"s%d","address":"127.0.0.1:9","slots":10}`, i%max(1, w.opts.Members/8))
	req, err := http.NewRequest(http.MethodPut, "http://"+exitAddr+"/v1/upstream", strings.NewReader(body))
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
	for end := time.Now().Add(controlTimeout); time.Now().Before(end); time.Sleep(controlPollInterval) {
		if ok() {
			return nil
		}
	}
	return errors.Errorf("timeout waiting for %s after %s", what, controlTimeout)
}

// publish appends a configuration change of about 1 KB and returns its version.
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
