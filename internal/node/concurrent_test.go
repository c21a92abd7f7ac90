package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/history"
	"github.com/galenagrade/galenagrade/internal/quarantine"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
)

// historyRecorder records the runs of the upstreams and the responses to the callers.
type historyRecorder struct {
	mu sync.Mutex
	h  history.History
}

func (r *historyRecorder) ran(run history.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.h.Runs = append(r.h.Runs, run)
}

func (r *historyRecorder) ended(send history.Send, retries int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.h.Sends = append(r.h.Sends, send)
	r.h.Retries = append(r.h.Retries, history.Retries{Root: send.Attempt, Count: retries, Allowance: simAllowance})
}

const (
	simAllowance = 2
	// reattachAfter is the delay after which an attempt without a response is transmitted
	// again.
	reattachAfter = 100 * time.Millisecond
)

// simGuard is a guard with an upstream that responds, sheds, fails and crashes. It implements
// Runner and Authority.
type simGuard struct {
	name string
	// claims means that the ownership of each key is decided by a claim.
	claims bool
	g      *Guard
	rec    *historyRecorder

	mu  sync.Mutex
	rng *rand.Rand
}

func (s *simGuard) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

// ownedElsewhere refuses a key that another guard owns, as the log does.
func (s *simGuard) ownedElsewhere(call *Call) *result.Refusal {
	owner := ownerOf(call)
	if owner == s.name {
		return nil
	}
	r := result.Refuse(result.OwnedElsewhere, "%s owns the key", owner)
	r.Owner = "addr-" + owner
	return r
}

func (s *simGuard) NeedsClaim(*Call) bool { return s.claims }

func (s *simGuard) MayStart(_ time.Time, call *Call) (time.Time, *result.Refusal) {
	return time.Time{}, s.ownedElsewhere(call)
}

func (s *simGuard) Claim(call *Call) {
	go func() {
		time.Sleep(time.Duration(s.draw(30)) * time.Millisecond)
		refusal := s.ownedElsewhere(call)
		if refusal == nil && s.draw(5) == 0 {
			refusal = result.Refuse(result.NoAuthority, "the log is unavailable")
		}
		s.g.Claimed(time.Now(), call.Ctx.CallID, refusal)
	}()
}

func (s *simGuard) Run(call *Call, _ time.Time) {
	go func() {
		id := call.Ctx.CallID
		if s.draw(12) == 0 {
			s.g.Finish(time.Now(), id, refusedWith(call, result.UpstreamShed))
			return
		}
		request, _, _ := strings.Cut(call.Ctx.RequestID, ".")
		s.rec.ran(history.Run{Upstream: s.name, Service: "s", Path: "/", Request: request, Attempt: call.Ctx.RequestID, Key: call.Ctx.Key})
		time.Sleep(time.Duration(1+s.draw(60)) * time.Millisecond)
		if s.draw(25) == 0 {
			s.crash(call)
			return
		}
		s.g.Finish(time.Now(), id, completeResponseOf(call, request))
	}()
}

func (s *simGuard) crash(call *Call) {
	incarnation, _, _ := s.g.UpstreamDown(time.Now(), s.name)
	a := refusedWith(call, result.LostAnswer)
	a.Crashed = incarnation
	s.g.Finish(time.Now(), call.Ctx.CallID, a)
	time.Sleep(50 * time.Millisecond)
	s.g.UpstreamUp(time.Now(), limits(2))
}

// simRouter is safe for concurrent use. Each key has one owner.
type simRouter struct {
	*fakeRouter
	mu sync.Mutex
}

func (r *simRouter) NewID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fakeRouter.NewID()
}

func (r *simRouter) Owner(call *Call) string { return ownerOf(call) }

func ownerOf(call *Call) string { return fmt.Sprintf("n%d", HashBody([]byte(call.Ctx.Key))%3) }

// sim is a system of three guards and the transport between callers and guards.
type sim struct {
	router *simRouter
	guards map[string]*simGuard
	rec    *historyRecorder
}

func newSim(seed uint64) *sim {
	s := &sim{router: &simRouter{fakeRouter: newFakeRouter(3, time.Now())}, guards: map[string]*simGuard{}, rec: &historyRecorder{}}
	for i := range uint64(3) {
		g := &simGuard{name: fmt.Sprintf("n%d", i), claims: seed%2 == 0, rec: s.rec, rng: rand.New(rand.NewPCG(seed, i))}
		g.g = NewGuard(DefaultGuardConfig(), i+1, g, g, time.Now())
		g.g.onCrashRecords = func([]quarantine.CrashRecord) {}
		g.g.UpstreamUp(time.Now(), limits(2))
		s.guards[g.name] = g
	}
	return s
}

// serve sends a call to a guard once and returns its response.
func (s *sim) serve(ctx context.Context, g *Guard, call *Call) *Response {
	got := make(chan *Response, 1)
	token, response := g.Arrive(time.Now(), call, func(a *Response) { got <- a })
	if response != nil {
		return response
	}
	select {
	case a := <-got:
		return a
	case <-ctx.Done():
	}
	g.Leave(time.Now(), call.Ctx.CallID, token)
	select {
	case a := <-got:
		return a
	default:
		return refusedWith(call, result.DeadlinePassed)
	}
}

// transmit sends an attempt to its guard. One in five uses a connection that becomes
// unresponsive before or after the guard received the call: either the call arrives late, or
// its response is lost. A second transmission follows.
func (s *sim) transmit(ctx context.Context, rng *rand.Rand, node string, call *Call) *Response {
	g := s.guards[node].g
	if rng.IntN(5) > 0 {
		return s.serve(ctx, g, call)
	}
	delay := time.Duration(rng.IntN(2)*rng.IntN(900)) * time.Millisecond
	go func() {
		time.Sleep(delay)
		s.serve(context.Background(), g, call)
	}()
	time.Sleep(reattachAfter)
	if ctx.Err() != nil {
		return refusedWith(call, result.LostAnswer)
	}
	resend := *call
	resend.Reattach = true
	return s.serve(ctx, g, &resend)
}

func (s *sim) send(rng *rand.Rand, request string, number int) *Response {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(100+rng.IntN(2000))*time.Millisecond)
	defer cancel()
	deadline, _ := ctx.Deadline()
	call := newCall(request, deadline)
	call.Ctx.RequestID = fmt.Sprintf("%s.%d", request, number)
	call.Ctx.Level, call.Ctx.RootAdmitted = 2, time.Now()
	if strings.HasPrefix(request, "letter") {
		call.Ctx.Key = request
	} else {
		call.Ctx.Idempotent = true
	}
	d := NewDispatch(s.router, rng, call, retry.NewAccount(simAllowance))
	for {
		switch action := d.Next(time.Now()); action.Kind {
		case ActionPause:
			time.Sleep(action.Pause)
		case ActionSend:
			d.Observe(time.Now(), s.transmit(ctx, rng, action.Target.Endpoint().Node, action.Attempt))
		case ActionDone:
			a := action.Response
			s.rec.ended(history.Send{
				Request: request, Attempt: call.Ctx.RequestID, Service: "s", Code: a.Code,
				Success: a.Complete(), BodyComplete: a.Complete(), ResponseRequest: string(a.Body), ResponseService: "s",
			}, d.retries)
			return a
		}
	}
}

// caller sends one request up to four times. An earlier transmission may still be in progress.
func (s *sim) caller(rng *rand.Rand, request string) {
	time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
	for i := range 4 {
		if s.send(rng, request, i).Complete() && rng.IntN(3) > 0 {
			return
		}
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
	}
}

// tick ticks the guards until the callers have ended.
func (s *sim) tick(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		for _, g := range s.guards {
			g.g.Tick(time.Now())
		}
	}
}

// Guards against a call that runs more than once, a false result, and a slot that is not released.
// Concurrent calls are shed, time out, are transmitted twice and are resent while upstreams crash.
func TestConcurrentCallsRunAtMostOnce(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			s := newSim(seed)
			done := make(chan struct{})
			go s.tick(done)
			var callers sync.WaitGroup
			for i := range uint64(60) {
				kind := []string{"letter", "look"}[i%2]
				callers.Go(func() { s.caller(rand.New(rand.NewPCG(seed, 100+i)), fmt.Sprintf("%s%d", kind, i)) })
			}
			callers.Wait()
			time.Sleep(time.Minute)
			close(done)
			synctest.Wait()
			must.SliceEmpty(t, history.Check(&s.rec.h))
			must.Greater(t, 30, len(s.rec.h.Runs))
			for _, g := range s.guards {
				load := g.g.admission.Load()
				must.EqOp(t, 0, g.g.Busy()+load.InFlight+load.Queued)
			}
		})
	}
}
