package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/conns"
	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/policy"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
	"github.com/galenagrade/galenagrade/internal/routing"
)

const testWorkspace = "w"

// allowAll is a claimer and authority that lets every call start without a claim.
type allowAll struct{}

func (allowAll) NeedsClaim(*node.Call) bool { return false }
func (allowAll) MayStart(time.Time, *node.Call) (time.Time, *result.Refusal) {
	return time.Time{}, nil
}
func (allowAll) Claim(context.Context, *node.Call) *result.Refusal { return nil }

type realClock struct{}

func (realClock) Now() time.Time { return time.Now() }

// fixedOwner assigns all keys to one inner address.
type fixedOwner struct{ addr string }

func (o *fixedOwner) Owner(string, uint64) string { return o.addr }

func (o *fixedOwner) SetResendHorizon(time.Duration) {}

// testNode is a node with its listeners on loopback.
type testNode struct {
	name     string
	node     *node.Node
	peers    *Peers
	upstream *Upstream
	callers  *httptest.Server
	exit     *httptest.Server
	inner    *httptest.Server
}

func (n *testNode) innerAddr() string { return n.inner.Listener.Addr().String() }

// cluster is a set of connected test nodes.
type cluster struct {
	t      *testing.T
	nodes  []*testNode
	owner  *fixedOwner
	client *http.Client
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, owner: &fixedOwner{}, client: &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(c.client.CloseIdleConnections)
	return c
}

// startNode adds a node. dial opens its connections to other nodes; wrap wraps its inner handler. Both
// may be nil.
func (c *cluster) startNode(dial conns.DialFunc, wrap func(http.Handler) http.Handler) *testNode {
	n := &testNode{name: fmt.Sprintf("n%d", len(c.nodes)), peers: NewPeers(dial), upstream: NewUpstream(allowAll{})}
	n.inner = httptest.NewUnstartedServer(nil)
	n.node = node.New(node.Config{
		Identity:  node.Identity{Node: n.name, Incarnation: uint64(1 + len(c.nodes)), Zone: "z", InnerAddr: n.innerAddr()},
		Clock:     realClock{},
		Runner:    n.upstream,
		Authority: allowAll{},
		Owners:    c.owner,
		Routing:   routing.DefaultConfig(),
		Retry:     retry.DefaultPolicy(),
		Throttle:  retry.DefaultThrottleConfig(),
		Guard:     node.DefaultGuardConfig(),
		Seed:      [32]byte{byte(len(c.nodes))},
		Sample:    1,
	})
	n.peers.Bind(n.node)
	n.upstream.Bind(n.node)
	p := New(n.node, n.peers, n.upstream)
	n.inner.Config.Handler = p.CallHandler()
	if wrap != nil {
		n.inner.Config.Handler = wrap(p.CallHandler())
	}
	n.inner.Start()
	n.callers = httptest.NewServer(p.CallerHandler())
	n.exit = httptest.NewServer(p.ExitHandler())
	c.nodes = append(c.nodes, n)
	c.t.Cleanup(func() {
		n.callers.Close()
		n.exit.Close()
		n.inner.Close()
		n.peers.Close()
		n.upstream.Close()
	})
	return n
}

// startUpstream starts handler as the upstream of a service behind a node.
func (c *cluster) startUpstream(n *testNode, service string, slots int, handler http.HandlerFunc) *httptest.Server {
	srv := httptest.NewServer(handler)
	c.t.Cleanup(srv.Close)
	n.upstream.SetAddr(srv.Listener.Addr().String())
	n.node.UpstreamAnnounced(time.Now(), node.Announcement{Service: service, Slots: slots})
	return srv
}

// configure applies the policies and the endpoints of the given services to all nodes.
func (c *cluster) configure(services map[*testNode]string) {
	var endpoints []routing.Endpoint
	state := policy.NewState()
	add := func(p policy.Publication) {
		p.ID = strconv.Itoa(int(state.Version()) + 1)
		p.Author = "test"
		rec, err := p.Record(time.Now())
		must.NoError(c.t, err)
		state = state.Apply(logstore.Entry{Offset: int64(state.Version()), Record: rec})
	}
	for _, t := range policy.Library() {
		add(policy.Publication{Template: &t})
	}
	known := map[string]bool{}
	for n, service := range services {
		endpoints = append(endpoints, routing.Endpoint{Node: n.name, Incarnation: n.node.Incarnation(), Zone: "z", Service: service, Addr: n.innerAddr(), Slots: 8, Joined: time.Now().Add(-time.Hour)})
		if !known[service] {
			known[service] = true
			add(policy.Publication{Instance: &policy.Instance{Workspace: testWorkspace, Service: service, Template: "balanced", Revision: 1, Values: map[string]string{"key_required": "false"}}})
		}
	}
	for _, n := range c.nodes {
		n.node.SetPolicy(time.Now(), state)
		n.node.SetEndpoints(time.Now(), endpoints)
		_, ok := n.node.Policy().Lookup(testWorkspace, endpoints[0].Service)
		must.True(c.t, ok)
	}
}

// request is a request of a caller or an upstream.
type request struct {
	to, method, service, key, body, parent string
	timeout                                time.Duration
}

// reply is the completely read response.
type reply struct {
	status int
	code   result.Code
	body   string
	err    error
}

func (c *cluster) do(ctx context.Context, r request) reply {
	req, err := http.NewRequestWithContext(ctx, r.method, r.to+"/path", strings.NewReader(r.body))
	must.NoError(c.t, err)
	req.Header.Set(callctx.HeaderWorkspace, testWorkspace)
	req.Header.Set(callctx.HeaderService, r.service)
	for name, v := range map[string]string{callctx.HeaderKey: r.key, callctx.HeaderContext: r.parent} {
		if v != "" {
			req.Header.Set(name, v)
		}
	}
	if r.timeout > 0 {
		req.Header.Set(callctx.HeaderTimeout, r.timeout.String())
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	code, _ := strconv.Atoi(resp.Header.Get(result.HeaderResult))
	return reply{resp.StatusCode, result.Code(code), string(body), err}
}

// runCounter counts the runs at upstreams by request body.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *runCounter) add(body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs == nil {
		c.runs = map[string]int{}
	}
	c.runs[body]++
}

func (c *runCounter) count(body string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[body]
}

// echo counts the run and responds with the request body.
func (c *runCounter) echo(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.add(string(body))
	rw.Header().Set(callctx.HeaderContext, r.Header.Get(callctx.HeaderContext))
	_, _ = rw.Write(append([]byte("re:"), body...))
}

// testTimeout limits the wait for an expected event. Tests do not measure time with it.
const testTimeout = 10 * time.Second

// eventually waits until cond returns true.
func eventually(t *testing.T, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition did not become true within testTimeout")
		}
	}
}
