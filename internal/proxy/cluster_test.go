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
	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/policy"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
	"github.com/galenagrade/galenagrade/internal/routing"
)

const workspace = "w"

// permissive lets every key start here without a claim.
type permissive struct{}

func (permissive) NeedsClaim(*node.Call) bool { return false }
func (permissive) MayStart(time.Time, *node.Call) (time.Time, *result.Refusal) {
	return time.Time{}, nil
}
func (permissive) Claim(context.Context, *node.Call) *result.Refusal { return nil }

type realClock struct{}

func (realClock) Now() time.Time { return time.Now() }

// owner is the inner address that owns every key.
type owner struct{ addr string }

func (o *owner) Owner(string, uint64) string { return o.addr }

func (o *owner) SetResendHorizon(time.Duration) {}

// testNode is one node with its listeners on loopback.
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

// world is some nodes that know each other.
type world struct {
	t      *testing.T
	nodes  []*testNode
	owner  *owner
	client *http.Client
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, owner: &owner{}, client: &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(w.client.CloseIdleConnections)
	return w
}

// start adds a node; wrap may change its inner handler, dial its connections.
func (w *world) start(dial DialFunc, wrap func(http.Handler) http.Handler) *testNode {
	n := &testNode{name: fmt.Sprintf("n%d", len(w.nodes)), peers: NewPeers(dial), upstream: NewUpstream(permissive{})}
	n.inner = httptest.NewUnstartedServer(nil)
	n.node = node.New(node.Config{
		Identity:  node.Identity{Node: n.name, Incarnation: uint64(1 + len(w.nodes)), Zone: "z", InnerAddr: n.innerAddr()},
		Clock:     realClock{},
		Runner:    n.upstream,
		Authority: permissive{},
		Owners:    w.owner,
		Routing:   routing.DefaultConfig(),
		Retry:     retry.DefaultPolicy(),
		Throttle:  retry.DefaultThrottleConfig(),
		Guard:     node.DefaultGuardConfig(),
		Seed:      [32]byte{byte(len(w.nodes))},
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
	w.nodes = append(w.nodes, n)
	w.t.Cleanup(func() {
		n.callers.Close()
		n.exit.Close()
		n.inner.Close()
		n.peers.Close()
		n.upstream.Close()
	})
	return n
}

// serve puts handler behind a node as the upstream of a service.
func (w *world) serve(n *testNode, service string, slots int, handler http.HandlerFunc) *httptest.Server {
	srv := httptest.NewServer(handler)
	w.t.Cleanup(srv.Close)
	n.upstream.SetAddr(srv.Listener.Addr().String())
	n.node.UpstreamAnnounced(time.Now(), node.Announcement{Service: service, Slots: slots})
	return srv
}

// connect tells every node the configuration and who guards which service.
func (w *world) connect(services map[*testNode]string) {
	var endpoints []routing.Endpoint
	state := policy.NewState()
	add := func(p policy.Publication) {
		p.ID = strconv.Itoa(int(state.Version()) + 1)
		p.Author = "test"
		rec, err := p.Record(time.Now())
		must.NoError(w.t, err)
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
			add(policy.Publication{Instance: &policy.Instance{Workspace: workspace, Service: service, Template: "balanced", Revision: 1, Values: map[string]string{"key_required": "false"}}})
		}
	}
	for _, n := range w.nodes {
		n.node.SetPolicy(time.Now(), state)
		n.node.SetEndpoints(time.Now(), endpoints)
		_, ok := n.node.Policy().Lookup(workspace, endpoints[0].Service)
		must.True(w.t, ok)
	}
}

// request is one call of a caller or an upstream.
type request struct {
	to, method, service, key, body, parent string
	timeout                                time.Duration
}

// reply is what came back, read to its end.
type reply struct {
	status int
	code   result.Code
	body   string
	err    error
}

func (w *world) do(ctx context.Context, r request) reply {
	req, err := http.NewRequestWithContext(ctx, r.method, r.to+"/path", strings.NewReader(r.body))
	must.NoError(w.t, err)
	req.Header.Set(callctx.HeaderWorkspace, workspace)
	req.Header.Set(callctx.HeaderService, r.service)
	for name, v := range map[string]string{callctx.HeaderKey: r.key, callctx.HeaderContext: r.parent} {
		if v != "" {
			req.Header.Set(name, v)
		}
	}
	if r.timeout > 0 {
		req.Header.Set(callctx.HeaderTimeout, r.timeout.String())
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	code, _ := strconv.Atoi(resp.Header.Get(result.HeaderResult))
	return reply{resp.StatusCode, result.Code(code), string(body), err}
}

// ledger counts what upstreams ran, by body.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *ledger) add(body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = map[string]int{}
	}
	l.runs[body]++
}

func (l *ledger) count(body string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[body]
}

// echo records the run and answers with the body it got.
func (l *ledger) echo(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	l.add(string(body))
	rw.Header().Set(callctx.HeaderContext, r.Header.Get(callctx.HeaderContext))
	_, _ = rw.Write(append([]byte("re:"), body...))
}

// giveUp ends a wait for what never comes; no test measures by it.
const giveUp = 10 * time.Second

// eventually returns once cond holds.
func eventually(t *testing.T, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(giveUp); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition never held")
		}
	}
}
