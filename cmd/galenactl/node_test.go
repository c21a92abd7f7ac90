package main

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/mesh"
	"github.com/galenagrade/galenagrade/internal/routes"
	"github.com/galenagrade/galenagrade/internal/settings"
	"github.com/galenagrade/galenagrade/internal/testraw"
	"github.com/galenagrade/galenagrade/platform"
	"github.com/galenagrade/galenagrade/platform/standin"
)

// startMeshNode runs a node whose routes have the given version and target service. It returns the
// node's metrics address.
func startMeshNode(t *testing.T, name string, version int64, service string) string {
	store := standin.Start()
	t.Cleanup(store.Close)
	cfg := settings.MeshDefaults()
	cfg.NodeID, cfg.Region, cfg.Zone, cfg.Service = name, "r", "z", "archive"
	cfg.UpstreamAddress = "127.0.0.1:1"
	const anyPort = "127.0.0.1:0"
	cfg.Listen = settings.MeshListen{Callers: anyPort, Inner: anyPort, Ready: anyPort, Announce: anyPort, Metrics: anyPort}
	cfg.Store.Address = store.Address()
	cfg.Balance.Zones = true
	cfg.Shares.Enabled = name == "a"
	must.NoError(t, cfg.Validate())
	m, err := mesh.Start(cfg, platform.NewAdapter(cfg, zerolog.Nop()), zerolog.Nop())
	must.NoError(t, err)
	t.Cleanup(m.Kill)
	must.NoError(t, m.PutRoutes(&routes.Config{Version: version, Services: []routes.Service{{Name: service}}, Routes: []routes.Route{{
		Name: "lookup", Host: "h", Prefix: "/a/", Timeout: time.Second, Objective: time.Second, MaxAttempts: 2,
		Targets: []routes.WeightedService{{Service: service, Weight: 1}},
	}}, Workspaces: []routes.Workspace{{Name: "north", Rate: 12, Burst: 30, Keys: []routes.Key{routes.KeyOf("secret")}}, {Name: "south"}}}))
	m.ApplyMember(fleet.Member{Node: "other", Incarnation: 1, Revision: 1, Zone: "z", Address: "127.0.0.1:2", Service: "letters", Slots: 3, State: fleet.Serving})
	m.ApplyMember(fleet.Member{Node: "far", Incarnation: 1, Revision: 1, Zone: "y", Address: "127.0.0.1:3", Service: "minutes", Slots: 3, State: fleet.Serving})
	return m.MetricsAddress().String()
}

func runNode(t *testing.T, address, line string, code int) string {
	var out, errOut bytes.Buffer
	args := append([]string{"--address", address, "node"}, strings.Fields(line)...)
	must.EqOp(t, code, run(context.Background(), args, strings.NewReader(""), &out, &errOut), must.Sprint(errOut.String()))
	return out.String() + errOut.String()
}

// Guards against a node whose view of the zones operators can't see.
func TestNodeZonesShowsTheView(t *testing.T) {
	address := startMeshNode(t, "a", 3, "archive")
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		var out, errOut bytes.Buffer
		code := run(context.Background(), []string{"--address", address, "node", "zones"}, strings.NewReader(""), &out, &errOut)
		return code == exitOK && strings.Contains(out.String(), "as a in zone z knows them through a")
	}), wait.Timeout(15*time.Second), wait.Gap(20*time.Millisecond)))
}

// Guards against node commands that show wrong or unfiltered routes, differences, members, quotas or shares, or
// do not report an unreachable node with its exit code.
func TestNodeCommandsShowStateOfOneNode(t *testing.T) {
	a, b := startMeshNode(t, "a", 3, "archive"), startMeshNode(t, "b", 4, "letters")
	must.StrContains(t, runNode(t, a, "routes", exitOK), "/a/")
	diff := runNode(t, a, "routes --diff "+b, exitOK)
	must.StrContains(t, diff, "letters")
	must.StrContains(t, diff, "version 3 at a, 4 at b")
	must.StrContains(t, runNode(t, a, "members --service letters", exitOK), "other")
	must.StrNotContains(t, runNode(t, a, "members --service archive", exitOK), "other")
	must.StrContains(t, runNode(t, a, "status", exitOK), "repeats left")
	must.StrContains(t, runNode(t, a, "placement", exitOK), "calls that a sends")
	quotas := runNode(t, a, "quotas", exitOK)
	must.StrContains(t, quotas, "north")
	must.StrContains(t, quotas, "version 3")
	must.StrNotContains(t, quotas, "south")
	must.StrNotContains(t, runNode(t, a, "quotas --workspace south", exitOK), "north")
	shares := runNode(t, a, "shares --workspace south", exitOK)
	must.StrContains(t, shares, "south")
	must.StrNotContains(t, shares, "north")
	must.StrContains(t, runNode(t, b, "shares", exitFailure), "shares are off at b")
	must.StrContains(t, runNode(t, "127.0.0.1:1", "status", exitUnreachable), "does not answer")
}

// Guards against a broken response of a node that is shown as its state.
func TestBrokenResponseOfANodeIsNotShown(t *testing.T) {
	for name, response := range testraw.BrokenResponses("Content-Type: application/json\r\n", `{"node":"a"}`) {
		addr, _ := testraw.Serve(t, func(*http.Request) string { return response })
		out := runNode(t, addr, "status", exitUnreachable)
		must.StrNotContains(t, out, "incarnation", must.Sprint(name))
	}
}
