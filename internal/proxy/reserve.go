package proxy

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/admission"
	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/room"
	"github.com/galenagrade/galenagrade/internal/routing"
)

const (
	// RoomPath is the path at which a guard promises room to other nodes.
	RoomPath = "/room"
	// paramNode names the node that a request is meant for.
	paramNode = "of"
	// roomTimeout bounds a request for room, to which a guard responds from memory. A tree waits for it.
	roomTimeout = 40 * time.Millisecond
	// treeKind marks the kinds of trees, which differ from those of single calls.
	treeKind = 1 << 31
	// maxNamed bounds the services that a route asks for room.
	maxNamed = 3
	// headerRoom carries Call.Room.
	headerRoom = "Galena-Inner-Room"
)

// kindOf returns the kind of the trees of a route. All nodes compute the same value.
func kindOf(k routeKey) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(k.label()))
	return h.Sum32() | treeKind
}

// SetReserve sets whether the node asks guards for room before it admits trees, and promises room of
// its own upstream at the given ratio.
func (p *Proxy) SetReserve(on bool, overcommit float64) {
	p.reserving.Store(on)
	p.node.Guard().SetReserve(p.node.Now(), on, overcommit)
}

// namedServices are the services that responses of a route recently named as scarce.
type namedServices struct {
	mu   sync.Mutex
	list [maxNamed]namedService
}

type namedService struct {
	gate   *serviceGate
	at     time.Time
	grants room.Grants
}

// add records that a service was named. It replaces the one that was named the longest time ago.
func (s *namedServices) add(now time.Time, gate *serviceGate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := 0
	for i := range s.list {
		if s.list[i].gate == gate {
			s.list[i].at = now
			return
		}
		if s.list[i].at.Before(s.list[oldest].at) {
			oldest = i
		}
	}
	s.list[oldest] = namedService{gate: gate, at: now}
}

// grants calls use with the grants of a service, if the route still names it.
func (s *namedServices) grants(gate *serviceGate, use func(*room.Grants)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.list {
		if s.list[i].gate == gate {
			use(&s.list[i].grants)
		}
	}
}

// asked returns the services that have to be asked now.
func (s *namedServices) asked(now time.Time) []*serviceGate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var asked []*serviceGate
	for i := range s.list {
		if x := &s.list[i]; x.gate != nil && now.Sub(x.at) < room.NamedFor && x.gate.asks(now) {
			asked = append(asked, x.gate)
		}
	}
	return asked
}

// reserve asks for room for a root request at the scarce services that its route calls. It returns a
// refusal if one has none, and reports in decided whether a guard answered. Otherwise the threshold that
// responses bring has to decide.
func (g *treeGate) reserve(ctx context.Context, p *Proxy, call *node.Call, objective time.Duration) (refusal *result.Refusal, decided bool) {
	if call.Ctx.Depth > 0 || !p.reserving.Load() {
		return nil, false
	}
	for _, service := range g.named.asked(p.node.Now()) {
		refusal, answered := g.reserveAt(ctx, p, call, service, objective)
		if refusal != nil {
			call.Room = node.RoomGrant{}
			return refusal, true
		}
		decided = decided || answered
	}
	return nil, decided
}

// reserveAt asks one service for room.
func (g *treeGate) reserveAt(ctx context.Context, p *Proxy, call *node.Call, service *serviceGate, objective time.Duration) (refusal *result.Refusal, answered bool) {
	now, c := p.node.Now(), &call.Ctx
	r := &room.Request{Kind: g.kind, Rank: admission.Rank(c.Level, c.CallerHash), Objective: min(objective, c.Remaining(now)), GrantedShare: -1, Repeatable: c.Idempotent}
	g.named.grants(service, func(grants *room.Grants) { r.GrantedShare = grants.Share() })
	answer, guard := p.askRoom(ctx, service, r)
	if answer == nil {
		p.node.Metrics().Inc(metrics.RoomUnanswered, 1)
		return nil, false
	}
	if answer.Tight {
		g.named.add(now, service)
	}
	g.named.grants(service, func(grants *room.Grants) { grants.Count(answer.Granted) })
	if answer.Granted && !c.Idempotent {
		if refusal := service.refuseFailing(p.node.Now(), call, answer, objective); refusal != nil {
			return refusal, true
		}
	}
	if answer.Granted {
		call.Room = call.Room.Add(service.name, g.kind)
		p.node.RecordRoomGranted(p.node.Now(), call, guard, answer.Threshold)
		return nil, true
	}
	p.node.Metrics().Inc(metrics.RoomRefused, 1)
	return result.Refuse(result.ShedEarly, "service %s has no room for a tree of rank %#08x (%s), threshold %#08x, according to %s",
		service.name, r.Rank, answer.Reason, answer.Threshold, guard).WithRetryAfter(answer.RetryAfter), true
}

// askRoom asks guards of a service in turn until one answers; nil if none does in time.
func (p *Proxy) askRoom(ctx context.Context, service *serviceGate, r *room.Request) (answer *room.Answer, guard string) {
	rng := p.rngs.Get().(*rand.Rand)
	defer p.rngs.Put(rng)
	until := p.node.Now().Add(room.AskTime)
	for range room.MaxAsked {
		now := p.node.Now()
		if !now.Before(until) {
			return nil, ""
		}
		target := p.node.Table().PickGuard(now, rng, service.name, func(name string) bool { return service.skips(now, name) })
		if target == nil {
			return nil, ""
		}
		endpoint := target.Endpoint()
		p.node.Metrics().Inc(metrics.RoomAsked, 1)
		answer, err := p.askGuard(ctx, &endpoint, r, rng.Float64())
		if err == nil {
			service.answered(p.node.Now(), answer)
			return answer, endpoint.Node
		}
		if ctx.Err() != nil {
			return nil, ""
		}
		service.unanswered(p.node.Now(), endpoint.Node)
	}
	return nil, ""
}

// askGuard asks one guard, which may be the own one.
func (p *Proxy) askGuard(ctx context.Context, endpoint *routing.Endpoint, r *room.Request, v float64) (*room.Answer, error) {
	if endpoint.Node == p.node.ID() {
		answer, ok := p.node.Guard().AskRoom(p.node.Now(), r, v)
		if !ok {
			return nil, errors.New("the own guard promises no room")
		}
		return &answer, nil
	}
	ctx, cancel := context.WithTimeout(ctx, roomTimeout)
	defer cancel()
	target := RoomPath + "?" + paramNode + "=" + url.QueryEscape(endpoint.Node) + "&" + r.Encode()
	resp, err := p.peers.Query(ctx, endpoint.Addr, target)
	if err != nil {
		return nil, err
	}
	if resp.Status != http.StatusOK {
		return nil, errors.Errorf("guard %s responded with status %d", endpoint.Node, resp.Status)
	}
	return room.DecodeAnswer(resp.Body)
}

// ServeRoom responds to another node's request for room.
func (p *Proxy) ServeRoom(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Get(paramNode) != p.node.ID() {
		http.Error(w, "request is meant for another node; its address belongs to this node", http.StatusMisdirectedRequest)
		return
	}
	request, err := room.DecodeRequest(query.Get)
	if err != nil {
		p.node.Metrics().Inc(metrics.RoomInvalid, 1)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer, ok := p.node.Guard().AskRoom(p.node.Now(), request, rand.Float64())
	if !ok {
		http.Error(w, "the guard promises no room", http.StatusServiceUnavailable)
		return
	}
	body, err := answer.MarshalJSON()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h["Date"] = nil
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// refuseFailing refuses a tree that a guard granted room if the other guards of its service, by their
// answers and reports, refuse calls at random: most calls of the tree will reach those.
func (s *serviceGate) refuseFailing(now time.Time, call *node.Call, a *room.Answer, objective time.Duration) *result.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.ObserveThreshold(now, max(a.Threshold, 1))
	if !s.state.TreesFail() {
		return nil
	}
	return s.state.Admit(now, call.Ctx.Level, call.Ctx.CallerHash, objective, rand.Float64(), rand.Float64())
}

func (s *serviceGate) asks(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.room.Asks(now)
}

func (s *serviceGate) skips(now time.Time, guard string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.room.Skips(now, guard)
}

// answered records the answer of a guard.
func (s *serviceGate) answered(now time.Time, a *room.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.room.Answered(now, a)
	if a.Reason == room.ReasonTreesFail {
		s.state.ObserveThreshold(now, 0)
	}
}

func (s *serviceGate) unanswered(now time.Time, guard string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.room.Unanswered(now, guard)
}

// decodeRoom parses a value of encodeRoom. An invalid value means that no room was granted.
func decodeRoom(text string) node.RoomGrant {
	kindText, services, _ := strings.Cut(text, " ")
	kind, err := strconv.ParseUint(kindText, 10, 32)
	if err != nil || kind == 0 || strings.Count(services, " ") >= maxNamed {
		return node.RoomGrant{}
	}
	for name := range strings.SplitSeq(services, " ") {
		if !callctx.ValidName(name) {
			return node.RoomGrant{}
		}
	}
	return node.RoomGrant{Kind: uint32(kind), Services: services}
}

// encodeRoom returns the value of headerRoom.
func encodeRoom(g node.RoomGrant) string {
	return strconv.FormatUint(uint64(g.Kind), 10) + " " + g.Services
}
