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
)

const (
	// announcePeriod is how often an upstream tells its node of itself.
	announcePeriod = time.Second
	// leavePoll is how often a leaving upstream asks whether it may go.
	leavePoll = 100 * time.Millisecond
)

type upstreamCmd struct {
	Node        string        `default:"127.0.0.1:7101" help:"The node's address for its local upstream."`
	Service     string        `required:"" help:"Service that it runs."`
	Path        string        `default:"/run" help:"Path that it answers."`
	Mean        time.Duration `default:"20ms" help:"Mean service time."`
	Fixed       bool          `help:"Every service time is the mean."`
	Step        []string      `help:"Call to a deeper service, as SERVICE:METHOD:/PATH; may be repeated."`
	Slots       int           `default:"32" help:"Calls that it runs at a time."`
	Connections int           `default:"512" help:"Connections that it accepts."`
	StopTimeout time.Duration `default:"30s" help:"How long it waits, when told to stop, for the calls in flight."`
	Seed        uint64        `default:"1" help:"Seed of the service times."`
}

// Run serves until a signal, then leaves as planned: it tells its node, waits
// until the node says that nothing is in flight, and ends.
func (c *upstreamCmd) Run() error {
	steps, err := parseSteps(c.Step)
	if err != nil {
		return err
	}
	a := &announcer{exit: "http://" + c.Node, client: &http.Client{Timeout: announcePeriod}}
	calls := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Slots}}
	srv := upstream.New(upstream.Config{
		Name: c.Service, Service: c.Service, Slots: c.Slots, Connections: c.Connections, Seed: c.Seed,
		Operations: map[string]upstream.Operation{c.Path: {Mean: c.Mean, Fixed: c.Fixed, Steps: steps}},
	}, func(ctx context.Context, step upstream.Step, parent http.Header) (int, []byte, error) {
		return callDeeper(ctx, calls, a.exit, step, parent)
	}, &upstream.Ledger{})
	if err := srv.Start(); err != nil {
		return err
	}
	defer srv.Crash()
	a.doc = node.Announcement{Service: c.Service, Address: srv.Addr(), Slots: c.Slots, Connections: c.Connections}
	announceListener("upstream "+c.Service, srv.Addr())
	ctx, cancel := onSignal()
	defer cancel()
	a.run(ctx)
	return a.leave(c.StopTimeout)
}

func parseSteps(list []string) ([]upstream.Step, error) {
	var steps []upstream.Step
	for _, s := range list {
		parts := strings.SplitN(s, ":", 3)
		if len(parts) != 3 || !strings.HasPrefix(parts[2], "/") {
			return nil, errors.Errorf("--step is %q, must be SERVICE:METHOD:/PATH", s)
		}
		steps = append(steps, upstream.Step{Service: parts[0], Method: parts[1], Path: parts[2]})
	}
	return steps, nil
}

// callDeeper calls another service through the own node. Copying the context
// is all that an upstream owes the layer.
func callDeeper(ctx context.Context, client *http.Client, exit string, step upstream.Step, parent http.Header) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, step.Method, exit+step.Path, nil)
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

// announcer speaks to the node for the upstream.
type announcer struct {
	exit   string
	doc    node.Announcement
	client *http.Client
	failed bool
}

func (a *announcer) run(ctx context.Context) {
	t := time.NewTicker(announcePeriod)
	defer t.Stop()
	for {
		a.put()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// put announces the upstream, and says once when its node doesn't answer.
func (a *announcer) put() {
	body, err := json.Marshal(a.doc)
	if err != nil {
		return
	}
	_, err = a.ask(http.MethodPut, body)
	if err != nil && !a.failed {
		fmt.Fprintln(os.Stderr, "galenabench upstream: node:", err)
	}
	a.failed = err != nil
}

// upstreamState is the node's answer.
type upstreamState struct {
	Draining bool `json:"draining"`
	InFlight int  `json:"in_flight"`
}

func (a *announcer) ask(method string, body []byte) (upstreamState, error) {
	var state upstreamState
	req, err := http.NewRequest(method, a.exit+"/v1/upstream", bytes.NewReader(body))
	if err != nil {
		return state, err
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return state, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		return state, errors.Errorf("%s: %s", resp.Status, bytes.TrimSpace(text))
	}
	return state, json.NewDecoder(resp.Body).Decode(&state)
}

// leave says that the upstream is leaving and waits until nothing is in
// flight. It goes on announcing itself meanwhile: silence would mean a crash.
func (a *announcer) leave(bound time.Duration) error {
	end := time.Now().Add(bound)
	state, err := a.ask(http.MethodDelete, nil)
	for next := time.Now(); err == nil && (!state.Draining || state.InFlight > 0); {
		if time.Now().After(end) {
			return errors.Errorf("%d calls were still in flight after %s", state.InFlight, bound)
		}
		if time.Now().After(next) {
			a.put()
			next = time.Now().Add(announcePeriod)
		}
		time.Sleep(leavePoll)
		state, err = a.ask(http.MethodGet, nil)
	}
	return errors.Wrap(err, "node did not answer while leaving")
}
