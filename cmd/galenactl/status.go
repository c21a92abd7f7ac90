package main

import (
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/galenagrade/galenagrade/internal/admin/adminpb"
)

type statusCmd struct {
	Workspace string `help:"Only nodes of this workspace."`
	Lagging   bool   `help:"Only nodes that lack the newest version."`
}

// Run implements the command.
func (c *statusCmd) Run(a *app) error {
	ctx, cancel := a.callContext(0)
	defer cancel()
	resp, err := a.client.Status(ctx, connect.NewRequest(&adminpb.StatusRequest{Workspace: c.Workspace, LaggingOnly: c.Lagging}))
	if err != nil {
		return err
	}
	m := resp.Msg
	t := newTable("NODE", "ZONE", "VERSION", "HEARD", "STATE", "DETAIL")
	for _, n := range m.Nodes {
		state := "in force"
		if n.Lagging {
			state = "lagging"
		}
		if strings.HasPrefix(n.Detail, "unknown") {
			state = "unknown"
		}
		t.row(n.NodeId, n.Zone, n.ConfigVersion, millis(n.ReportAgeMs), state, n.Detail)
	}
	t.note("version %d in force on %d of %d nodes, as %s sees it", m.NewestVersion, m.NodesInForce, m.NodesKnown, m.AnsweredBy)
	log := "available"
	if !m.LogAvailable {
		log = "UNAVAILABLE"
	}
	t.note("log %s, next offset %d, read %v ago", log, m.LogNextOffset, millis(m.LogHeadAgeMs))
	return a.print(m, t)
}

type membersCmd struct {
	Workspace string `help:"Only this workspace."`
	Service   string `help:"Only this service."`
	Zone      string `help:"Only this availability zone."`
}

// Run implements the command.
func (c *membersCmd) Run(a *app) error {
	ctx, cancel := a.callContext(0)
	defer cancel()
	resp, err := a.client.Members(ctx, connect.NewRequest(&adminpb.MembersRequest{
		Workspace: c.Workspace, Service: c.Service, Zone: c.Zone,
	}))
	if err != nil {
		return err
	}
	t := newTable("NODE", "ZONE", "WORKSPACE", "SERVICE", "STATE", "IN FLIGHT", "LIMIT", "SLOTS", "HEARD", "ADDRESS")
	for _, m := range resp.Msg.Members {
		t.row(m.NodeId, m.Zone, m.Workspace, m.Service, m.State, m.InFlight, m.Limit, m.Slots, millis(m.HeardAgeMs), m.InnerAddr)
	}
	return a.print(orEmpty(resp.Msg.Members), t)
}

type drainCmd struct {
	Node   string        `arg:"" help:"Node ID."`
	Reason string        `help:"Shown on the timeline."`
	Wait   time.Duration `help:"Maximum time to wait for the calls in flight; 0 means no wait."`
}

// Run implements the command.
func (c *drainCmd) Run(a *app) error {
	ctx, cancel := a.callContext(c.Wait)
	defer cancel()
	resp, err := a.client.Drain(ctx, connect.NewRequest(&adminpb.DrainRequest{
		NodeId: c.Node, Reason: c.Reason, WaitMs: c.Wait.Milliseconds(),
	}))
	if err != nil {
		return err
	}
	t := newTable("NODE", "STATE", "IN FLIGHT", "DETAIL")
	t.row(c.Node, resp.Msg.State, resp.Msg.InFlight, resp.Msg.Detail)
	if err := a.print(resp.Msg, t); err != nil {
		return err
	}
	if c.Wait > 0 && resp.Msg.State != "drained" {
		return &exitError{exitNotInForce, fmt.Sprintf("%s still has %d calls in flight after %v", c.Node, resp.Msg.InFlight, c.Wait)}
	}
	return nil
}
