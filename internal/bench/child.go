package bench

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/standin/upstream"
)

const (
	// hopTimeout and hopRetries apply to each hop under the baseline; they are
	// common settings of service clients.
	hopTimeout = time.Second
	hopRetries = 3
	// ConnsPerHost is the maximum number of connections from one location to one
	// address. It is bounded because this process holds both ends of all of a
	// deployment's connections.
	ConnsPerHost = 120
)

// deeperServiceCaller returns the function by which an upstream calls deeper services:
// through its node, or directly under the baseline.
func (w *World) deeperServiceCaller(v *vm) upstream.CallFunc {
	if w.policy == PolicyBaseline {
		return func(ctx context.Context, step upstream.Step, parent http.Header) (int, []byte, error) {
			return w.baseline.call(ctx, v.zone, step, parent)
		}
	}
	client := &http.Client{Transport: &http.Transport{
		DialContext:         w.pausableDial((&net.Dialer{}).DialContext, nil),
		MaxIdleConnsPerHost: 512,
	}}
	return func(ctx context.Context, step upstream.Step, parent http.Header) (int, []byte, error) {
		_, exitAddr := v.addresses()
		req, err := childRequest(ctx, "http://"+exitAddr, step, parent)
		if err != nil {
			return 0, nil, err
		}
		req.Header.Set(callctx.HeaderContext, parent.Get(callctx.HeaderContext))
		req.Header.Set(callctx.HeaderService, step.Service)
		return roundTrip(client, req)
	}
}

func childRequest(ctx context.Context, base string, step upstream.Step, parent http.Header) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, step.Method, base+step.Path+"?q="+parent.Get(upstream.HeaderOp), nil)
	if err != nil {
		return nil, err
	}
	for _, name := range []string{upstream.HeaderOp, upstream.HeaderAttempt, upstream.HeaderPoison, upstream.HeaderIssued} {
		if v := parent.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	if step.Method == post {
		req.Header.Set(callctx.HeaderKey, parent.Get(upstream.HeaderOp)+"-"+step.Service)
		req.Header.Set(callctx.HeaderIssuedAt, parent.Get(upstream.HeaderIssued))
	}
	return req, nil
}

func roundTrip(client *http.Client, req *http.Request) (int, []byte, error) {
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// baselineRouter makes the calls of the baseline: least-loaded routing by calls in
// flight, with a timeout and three retries at every hop.
type baselineRouter struct {
	world   *World
	clients map[string]*http.Client // by location
	mu      sync.Mutex
	loads   map[*vm]*atomic.Int64
}

func newBaselineRouter(w *World) *baselineRouter {
	r := &baselineRouter{world: w, clients: map[string]*http.Client{}, loads: map[*vm]*atomic.Int64{}}
	for _, zone := range append([]string{clientsLocation}, w.deployment.Zones...) {
		r.clients[zone] = &http.Client{Transport: &http.Transport{
			DialContext:         w.network.Dialer(zone),
			MaxIdleConnsPerHost: 512,
			MaxConnsPerHost:     ConnsPerHost,
		}}
	}
	return r
}

func (r *baselineRouter) close() {
	for _, c := range r.clients {
		c.CloseIdleConnections()
	}
}

func (r *baselineRouter) call(ctx context.Context, zone string, step upstream.Step, parent http.Header) (status int, body []byte, err error) {
	for attempt := 0; attempt <= hopRetries; attempt++ {
		if attempt > 0 {
			r.world.retries.add(parent.Get(upstream.HeaderAttempt), 1)
		}
		status, body, err = r.attempt(ctx, zone, step, parent)
		if err == nil && status < http.StatusInternalServerError || ctx.Err() != nil {
			return status, body, err
		}
	}
	return status, body, err
}

func (r *baselineRouter) attempt(ctx context.Context, zone string, step upstream.Step, parent http.Header) (int, []byte, error) {
	v, load := r.leastLoaded(step.Service)
	load.Add(1)
	defer load.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, hopTimeout)
	defer cancel()
	req, err := childRequest(ctx, "http://"+v.server.Addr(), step, parent)
	if err != nil {
		return 0, nil, err
	}
	return roundTrip(r.clients[zone], req)
}

func (r *baselineRouter) leastLoaded(service string) (*vm, *atomic.Int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *vm
	all := r.world.upstreamsOf(service)
	offset := rand.IntN(len(all))
	for i := range all {
		v := all[(i+offset)%len(all)]
		if r.loads[v] == nil {
			r.loads[v] = &atomic.Int64{}
		}
		if best == nil || r.loads[v].Load() < r.loads[best].Load() {
			best = v
		}
	}
	return best, r.loads[best]
}

// retryCounter counts the retries within the system per attempt of a caller. Safe for
// concurrent use.
type retryCounter struct {
	mu    sync.Mutex
	count map[string]int
	sum   int
}

func newRetryCounter() *retryCounter { return &retryCounter{count: map[string]int{}} }

func (c *retryCounter) add(root string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count[root] += n
	c.sum += n
}

// CallEnded implements node.Observer.
func (c *retryCounter) CallEnded(requestID string, retries int) {
	if retries > 0 {
		c.add(requestID, retries)
	}
}

func (c *retryCounter) max() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	highest := 0
	for _, n := range c.count {
		highest = max(highest, n)
	}
	return highest
}

// all returns a copy of the counts, by attempt ID.
func (c *retryCounter) all() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.count)
}

func (c *retryCounter) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sum
}
