package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/mesh"
	"github.com/galenagrade/galenagrade/internal/quota"
	"github.com/galenagrade/galenagrade/internal/routes"
)

// nodeCmd shows the state of one node that serves by routes. --address is the node's metrics address.
type nodeCmd struct {
	Status  nodeStatusCmd  `cmd:"" help:"State, limits, and the age of its routes and members."`
	Routes  nodeRoutesCmd  `cmd:"" help:"Routes in force, optionally compared with those of another node."`
	Members nodeMembersCmd `cmd:"" help:"Members known to the node."`
	Shares  nodeSharesCmd  `cmd:"" help:"Who asks how much, weights, shares, what each workspace gets, and why it is cut."`
	Quotas  nodeQuotasCmd  `cmd:"" help:"Quotas of workspaces, the node's share of them, and the requests that it refused."`
	Zones   nodeZonesCmd   `cmd:"" help:"Demand and room of each availability zone by service, and the shares of calls that go to other zones."`
}

type nodeStatusCmd struct{}

// Run implements the command.
func (nodeStatusCmd) Run(a *app) error {
	s, err := a.nodeState(a.address)
	if err != nil {
		return err
	}
	t := newTable("WHAT", "VALUE", "AGE", "STORE")
	t.row("ready", s.Ready, "", "")
	t.row("stopping", s.Stopping, "", "")
	t.row("routes, version", s.Routes.Version, freshnessAge(s.Routes), freshnessSource(s.Routes))
	t.row("members", len(s.Records), freshnessAge(s.Members), freshnessSource(s.Members))
	t.row("upstream serving", s.Guard.Serving, "", "")
	t.row("in flight, queued, limit", [3]int{s.Guard.InFlight, s.Guard.Queued, s.Guard.Limit}, "", "")
	t.row("overloaded", s.Guard.Overloaded, "", "")
	t.row("repeats left", s.Guard.RetryBudgetLeft, "", "")
	t.row("store calls, failed", [2]int64{s.Store.Calls, s.Store.Failures}, "", "")
	t.note("%s in zone %s, service %s, incarnation %d", s.Node, s.Zone, s.Service, s.Incarnation)
	return a.print(s, t)
}

type nodeRoutesCmd struct {
	Diff string `help:"Metrics address of another node: show only the differences to its routes."`
}

// Run implements the command.
func (c *nodeRoutesCmd) Run(a *app) error {
	s, err := a.nodeState(a.address)
	if err != nil {
		return err
	}
	if s.Config == nil {
		return errors.Errorf("%s has no routes yet", s.Node)
	}
	if c.Diff != "" {
		return c.diff(a, s)
	}
	t := newTable("ROUTE", "HOST", "PREFIX", "TO", "TIMEOUT", "ATTEMPTS", "OBJECTIVE", "LEVEL", "IDEMPOTENT")
	for i := range s.Config.Routes {
		r := &s.Config.Routes[i]
		t.row(r.Name, r.Host, r.Prefix, r.TargetsText(), r.Timeout, r.MaxAttempts, r.Objective, r.Level, r.Idempotent)
	}
	t.note("version %d, confirmed %s ago", s.Config.Version, freshnessAge(s.Routes))
	return a.print(s.Config, t)
}

func (c *nodeRoutesCmd) diff(a *app, s *mesh.NodeState) error {
	other, err := a.nodeState(baseURL(c.Diff))
	if err != nil {
		return err
	}
	if other.Config == nil {
		return errors.Errorf("%s has no routes yet", other.Node)
	}
	changes := routes.Diff(s.Config, other.Config)
	t := newTable("ROUTE", "FIELD", s.Node, other.Node)
	for _, x := range changes {
		t.row(x.Route, x.Field, x.Old, x.New)
	}
	t.note("version %d at %s, %d at %s", s.Config.Version, s.Node, other.Config.Version, other.Node)
	return a.print(orEmpty(changes), t)
}

type nodeMembersCmd struct {
	Service string `help:"Only this service."`
	Zone    string `help:"Only this availability zone."`
}

// Run implements the command.
func (c *nodeMembersCmd) Run(a *app) error {
	s, err := a.nodeState(a.address)
	if err != nil {
		return err
	}
	selected := []mesh.MemberState{}
	t := newTable("NODE", "ZONE", "SERVICE", "UPSTREAM", "STATE", "REACHED", "SLOTS", "ADDRESS")
	for i := range s.Records {
		m := &s.Records[i]
		if (c.Service != "" && m.Service != c.Service) || (c.Zone != "" && m.Zone != c.Zone) {
			continue
		}
		selected = append(selected, *m)
		t.row(m.Node, m.Zone, m.Service, m.Upstream, m.State, !m.Unreachable, m.Slots, m.Address)
	}
	t.note("as %s knows them, confirmed %s ago, store %s", s.Node, freshnessAge(s.Members), freshnessSource(s.Members))
	return a.print(selected, t)
}

type nodeQuotasCmd struct {
	Workspace string `help:"Only this workspace."`
}

// Run implements the command.
func (c *nodeQuotasCmd) Run(a *app) error {
	s, err := a.nodeState(a.address)
	if err != nil {
		return err
	}
	selected := []quota.State{}
	t := newTable("WORKSPACE", "RATE", "BURST", "PART", "DEPTH", "TOKENS", "SPENT", "REFUSED")
	for i := range s.Quotas {
		q := &s.Quotas[i]
		if c.Workspace != "" && q.Workspace != c.Workspace {
			continue
		}
		selected = append(selected, *q)
		t.row(q.Workspace, q.Rate, q.Burst, rounded(q.PartRate), rounded(q.PartDepth), rounded(q.Tokens), q.Spent, q.Refused)
	}
	t.note("part, depth and tokens are of %s alone, 0 where it holds none; spent and refused are requests that came there; version %d, confirmed %s ago",
		s.Node, s.Routes.Version, freshnessAge(s.Routes))
	return a.print(selected, t)
}

type nodeZonesCmd struct {
	Service string `help:"Only this service."`
}

// Run implements the command.
func (c *nodeZonesCmd) Run(a *app) error {
	s, err := a.nodeState(a.address)
	if err != nil {
		return err
	}
	if s.Overview == nil {
		return errors.Errorf("%s has no recent view of the zones; is balance.zones set, and are there several zones?", s.Node)
	}
	ages, nodes := map[string]time.Duration{}, map[string]int{}
	for i := range s.Overview.View.Zones {
		z := &s.Overview.View.Zones[i]
		ages[z.Name] = time.Duration(z.AgeMillis+s.Overview.AgeMillis) * time.Millisecond
		nodes[z.Name] = z.Nodes
	}
	selected := []mesh.ServiceZones{}
	t := newTable("SERVICE", "ZONE", "NODES", "CALLS/S", "ROOM/S", "SHARE FROM HERE", "AGE")
	for i := range s.Zones {
		service := &s.Zones[i]
		if c.Service != "" && service.Service != c.Service {
			continue
		}
		selected = append(selected, *service)
		for _, z := range service.Zones {
			t.row(service.Service, z.Name, nodes[z.Name], rounded(z.Demand), rounded(z.Rate), rounded(service.Share(z.Name)), ages[z.Name])
		}
	}
	t.note("as %s in zone %s knows them through %s; room is what the upstreams there can complete", s.Node, s.Zone, s.Overview.Collector)
	return a.print(selected, t)
}

// rounded formats x with 2 decimal places.
func rounded(x float64) string { return strconv.FormatFloat(x, 'f', 2, 64) }

// freshnessAge returns the time since the data was last confirmed, or "never".
func freshnessAge(f mesh.Freshness) string {
	if f.AgeMillis < 0 {
		return "never"
	}
	return (time.Duration(f.AgeMillis) * time.Millisecond).String()
}

// freshnessSource returns how the node receives the data: from the store, through a relay node, or not
// at all.
func freshnessSource(f mesh.Freshness) string {
	if f.Lost {
		return "LOST"
	}
	if f.Relay != "" {
		return "through " + f.Relay
	}
	return "reached"
}

// nodeState requests the state of the node whose metrics are at address.
func (a *app) nodeState(address string) (*mesh.NodeState, error) {
	ctx, cancel := a.callContext(0)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address+mesh.StatePath, nil)
	if err != nil {
		return nil, usageError{err}
	}
	resp, err := a.http.Do(req)
	if err != nil {
		return nil, &exitError{exitUnreachable, "node " + address + " does not answer: " + err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s%s answered %s; --address must be the node's metrics address", address, mesh.StatePath, resp.Status)
	}
	var s mesh.NodeState
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return nil, errors.Wrap(err, "decode the state of the node")
	}
	return &s, nil
}
