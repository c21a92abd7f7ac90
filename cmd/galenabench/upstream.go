package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/standin/upstream"
	"github.com/galenagrade/galenagrade/internal/wait"
)

const (
	// announcePeriod is the time between two announcements of an upstream to its node.
	announcePeriod = time.Second
	// drainPollInterval is the interval at which a leaving upstream requests the number of its
	// calls in flight from its node.
	drainPollInterval = 100 * time.Millisecond
)

type upstreamCmd struct {
	Node        string        `default:"127.0.0.1:7101" help:"The node's address for its local upstream."`
	Service     string        `required:"" help:"Service that it runs."`
	Path        string        `default:"/run" help:"Path that it serves."`
	Mean        time.Duration `default:"20ms" help:"Mean service time."`
	Fixed       bool          `help:"Every service time is the mean."`
	Step        []string      `help:"Call to a deeper service, as SERVICE:METHOD:/PATH; may be repeated."`
	Slots       int           `default:"32" help:"Calls that it runs at a time."`
	Connections int           `default:"512" help:"Connections that it accepts."`
	RateLimit   float64       `default:"0" help:"Rate limit in calls per second that it names in its responses; it reports at its end whether it was kept. 0 names none."`
	StopTimeout time.Duration `default:"30s" help:"How long it waits for calls in flight when it stops."`
	Seed        uint64        `default:"1" help:"Seed of the service times."`
}

// Run serves until a signal, then leaves gracefully: it reports that to its node and ends once the node
// has no calls in flight for it.
func (c *upstreamCmd) Run() error {
	steps, err := parseSteps(c.Step)
	if err != nil {
		return err
	}
	a := &announcer{nodeURL: "http://" + c.Node, client: &http.Client{Timeout: announcePeriod}}
	calls := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Slots}}
	srv := upstream.New(upstream.Config{
		Name: c.Service, Service: c.Service, Slots: c.Slots, Connections: c.Connections, Seed: c.Seed,
		Operations: map[string]upstream.Operation{c.Path: {Mean: c.Mean, Fixed: c.Fixed, Steps: steps}},
	}, func(ctx context.Context, step upstream.Step, parent http.Header) (int, []byte, error) {
		return callDeeper(ctx, calls, a.nodeURL, step, parent)
	}, &upstream.Ledger{})
	if err := srv.Start(); err != nil {
		return err
	}
	defer srv.Crash()
	srv.Say(upstream.Notice{RateLimit: c.RateLimit})
	a.announcement = node.Announcement{Service: c.Service, Address: srv.Addr(), Slots: c.Slots, Connections: c.Connections}
	printListener("upstream "+c.Service, srv.Addr())
	ctx, cancel := onSignal()
	defer cancel()
	kept := make(chan error, 1)
	go func() { kept <- watchRateLimit(ctx, srv.Arrivals, c.RateLimit) }()
	a.run(ctx)
	if err := a.leave(c.StopTimeout); err != nil {
		return err
	}
	return <-kept
}

const (
	// rateWindow is the time in which at most rateExcess times the rate limit and rateSlack requests may
	// arrive.
	rateWindow = 4 * time.Second
	rateExcess = 1.5
	rateSlack  = 5
)

// watchRateLimit counts the arrivals in successive windows until ctx ends. It returns an error if one of
// them, except the first, in which nodes learn the limit, had more than the limit allows. A limit of 0
// allows everything.
func watchRateLimit(ctx context.Context, arrivals func() int64, perSecond float64) error {
	allowed := int64(rateExcess*perSecond*rateWindow.Seconds()) + rateSlack
	var exceeded error
	for window := 0; ; window++ {
		before := arrivals()
		if !wait.For(ctx, rateWindow) {
			return exceeded
		}
		if got := arrivals() - before; perSecond > 0 && window > 0 && got > allowed {
			exceeded = errors.Errorf("%d requests arrived in %v at a rate limit of %g a second, at most %d are allowed", got, rateWindow, perSecond, allowed)
		}
	}
}

// parseSteps parses the values of --step.
func parseSteps(args []string) ([]upstream.Step, error) {
	var steps []upstream.Step
	for _, s := range args {
		parts := strings.SplitN(s, ":", 3)
		if len(parts) != 3 || !strings.HasPrefix(parts[2], "/") {
			return nil, errors.Errorf("--step is %q, must be SERVICE:METHOD:/PATH", s)
		}
		steps = append(steps, upstream.Step{Service: parts[0], Method: parts[1], Path: parts[2]})
	}
	return steps, nil
}

// callDeeper calls another service through the upstream's own node. Galenagrade requires only one
// thing of an upstream: that it copies the context header of the request that it serves to the
// calls that it makes.
func callDeeper(ctx context.Context, client *http.Client, nodeURL string, step upstream.Step, parent http.Header) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, step.Method, nodeURL+step.Path, nil)
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set(callctx.HeaderContext, parent.Get(callctx.HeaderContext))
	req.Header.Set(callctx.HeaderService, step.Service)
	if key := parent.Get(callctx.HeaderKey); key != "" && step.Method != http.MethodGet {
		req.Header.Set(callctx.HeaderKey, key+"/"+step.Service)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// announcer sends the upstream's announcements to its node and queries the node for the upstream's
// state.
type announcer struct {
	nodeURL      string
	announcement node.Announcement
	client       *http.Client
	lastFailed   bool
}

// run announces the upstream every announcePeriod until ctx ends.
func (a *announcer) run(ctx context.Context) {
	t := time.NewTicker(announcePeriod)
	defer t.Stop()
	for {
		a.announce()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// announce announces the upstream to its node. Of consecutive failures only the first is printed.
func (a *announcer) announce() {
	body, err := json.Marshal(a.announcement)
	if err != nil {
		return
	}
	_, err = a.request(http.MethodPut, body)
	if err != nil && !a.lastFailed {
		fmt.Fprintln(os.Stderr, "galenabench upstream: announcement to the node failed:", err)
	}
	a.lastFailed = err != nil
}

// upstreamState is the node's response: whether the upstream is draining, and its calls in flight.
type upstreamState struct {
	Draining bool `json:"draining"`
	InFlight int  `json:"in_flight"`
}

// request sends a request about the upstream to its node.
func (a *announcer) request(method string, body []byte) (upstreamState, error) {
	var state upstreamState
	req, err := http.NewRequest(method, a.nodeURL+"/v1/upstream", bytes.NewReader(body))
	if err != nil {
		return state, err
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return state, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		message, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		return state, errors.Errorf("node responded with %s: %s", resp.Status, bytes.TrimSpace(message))
	}
	return state, json.NewDecoder(resp.Body).Decode(&state)
}

// leave reports that the upstream is leaving and waits until no calls are in flight, for at most
// timeout. It continues the announcements meanwhile, since the node treats an upstream without them as
// crashed.
func (a *announcer) leave(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	state, err := a.request(http.MethodDelete, nil)
	for nextAnnouncement := time.Now(); err == nil && (!state.Draining || state.InFlight > 0); {
		if time.Now().After(deadline) {
			return errors.Errorf("%d calls were still in flight after %s", state.InFlight, timeout)
		}
		if time.Now().After(nextAnnouncement) {
			a.announce()
			nextAnnouncement = time.Now().Add(announcePeriod)
		}
		time.Sleep(drainPollInterval)
		state, err = a.request(http.MethodGet, nil)
	}
	return errors.Wrap(err, "node did not respond while the upstream was leaving")
}
