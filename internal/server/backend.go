package server

import (
	"context"
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/admin"
	"github.com/galenagrade/galenagrade/internal/admin/adminpb"
	"github.com/galenagrade/galenagrade/internal/membership"
	"github.com/galenagrade/galenagrade/internal/policy"
	"github.com/galenagrade/galenagrade/internal/wait"
)

// backend implements admin.Backend for a running node. Configuration and members come from the
// records of the log that this node applied; the state of other nodes is requested from them.
type backend struct {
	server *Server
	peers  *peerClient
}

var _ admin.Backend = (*backend)(nil)

func newBackend(s *Server) *backend { return &backend{server: s, peers: newPeerClient(s)} }

// memberView returns the members according to the records applied so far.
func (c *controlLoop) memberView() *membership.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plane.Members()
}

// knownMembers returns the members that calls can be routed to: those in the applied records
// and those whose join record was not read yet, including this node.
func (c *controlLoop) knownMembers() []membership.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plane.KnownMembers()
}

// knownNode returns the known member with this node ID.
func (c *controlLoop) knownNode(nodeID string) (membership.Member, bool) {
	for _, m := range c.knownMembers() {
		if m.Node == nodeID {
			return m, true
		}
	}
	return membership.Member{}, false
}

// workspacesOf returns the workspaces that a member serves: its own workspace, or, for a
// member that serves all workspaces, those with an instance for its service.
func workspacesOf(s *policy.State, m membership.Member) []string {
	if m.Workspace != "" {
		return []string{m.Workspace}
	}
	var list []string
	for _, i := range s.Instances() {
		if i.Service == m.Service && m.Service != "" {
			list = append(list, i.Workspace)
		}
	}
	return list
}

// NodeWorkspaces implements admin.Backend.
func (b *backend) NodeWorkspaces(_ context.Context, nodeID string) ([]string, error) {
	m, ok := b.server.control.knownNode(nodeID)
	if !ok {
		if nodeID == b.server.cfg.NodeID {
			return nil, nil
		}
		return nil, admin.NotFound("node %s is not a member", nodeID)
	}
	return workspacesOf(b.server.node.Policy(), m), nil
}

// Status implements admin.Backend. NewestVersion is the newest version reported by any node
// that responded, because this node may lag itself.
func (b *backend) Status(ctx context.Context, r *adminpb.StatusRequest) (*adminpb.StatusResponse, error) {
	state := b.server.node.Policy()
	members := b.server.control.knownMembers()
	if r.GetWorkspace() != "" {
		members = slices.DeleteFunc(members, func(m membership.Member) bool {
			return !slices.Contains(workspacesOf(state, m), r.GetWorkspace())
		})
	}
	reports := b.peers.reports(ctx, members)
	resp := b.logStatus()
	resp.NewestVersion = uint64(state.NewestChange())
	for _, rep := range reports {
		if rep.err == nil {
			resp.NewestVersion = max(resp.NewestVersion, rep.report.Change)
		}
	}
	resp.NodesKnown = uint32(len(members))
	for i, m := range members {
		n := nodeStatus(m, &reports[i], resp.NewestVersion)
		if !n.Lagging {
			resp.NodesInForce++
		}
		if n.Lagging || !r.GetLaggingOnly() {
			resp.Nodes = append(resp.Nodes, n)
		}
	}
	return resp, nil
}

func (b *backend) logStatus() *adminpb.StatusResponse {
	next, age, available := b.server.control.logHealth()
	return &adminpb.StatusResponse{
		LogNextOffset: uint64(next),
		LogHeadAgeMs:  age.Milliseconds(),
		LogAvailable:  available,
		AnsweredBy:    b.server.cfg.NodeID,
	}
}

func nodeStatus(m membership.Member, result *reportResult, newestVersion uint64) *adminpb.NodeStatus {
	n := &adminpb.NodeStatus{
		NodeId:      m.Node,
		Incarnation: formatIncarnation(m.Incarnation),
		Zone:        m.Zone,
		ReportAgeMs: result.age.Milliseconds(),
	}
	if result.err != nil {
		n.Lagging = true
		n.Detail = "unknown: " + result.err.Error()
		return n
	}
	n.ConfigVersion = result.report.Change
	n.Lagging = result.report.Folded < newestVersion
	if n.Lagging {
		n.Detail = "has applied the log up to offset " + formatCount(result.report.Folded)
	}
	return n
}

// Members implements admin.Backend. A member that serves several workspaces is listed once for
// each of them.
func (b *backend) Members(ctx context.Context, r *adminpb.MembersRequest) ([]*adminpb.Member, error) {
	state := b.server.node.Policy()
	var selected []membership.Member
	for _, m := range b.server.control.knownMembers() {
		if matches(r.GetService(), m.Service) && matches(r.GetZone(), m.Zone) {
			selected = append(selected, m)
		}
	}
	reports := b.peers.reports(ctx, selected)
	var list []*adminpb.Member
	for i, m := range selected {
		workspaces := workspacesOf(state, m)
		if len(workspaces) == 0 {
			workspaces = []string{""}
		}
		for _, w := range workspaces {
			if matches(r.GetWorkspace(), w) {
				list = append(list, memberMessage(m, w, &reports[i]))
			}
		}
	}
	return list, nil
}

func matches(want, got string) bool { return want == "" || want == got }

func memberMessage(m membership.Member, workspace string, result *reportResult) *adminpb.Member {
	msg := &adminpb.Member{
		NodeId:      m.Node,
		Incarnation: formatIncarnation(m.Incarnation),
		Region:      m.Region,
		Zone:        m.Zone,
		InnerAddr:   m.InnerAddr,
		Workspace:   workspace,
		Service:     m.Service,
		Slots:       uint32(m.Slots),
		Connections: uint32(m.Connections),
		State:       "suspect",
		HeardAgeMs:  result.age.Milliseconds(),
	}
	if result.err != nil {
		return msg
	}
	msg.State = "alive"
	if result.report.Draining {
		msg.State = "draining"
	}
	msg.UpstreamAddr = result.report.UpstreamAddr
	msg.InFlight = uint32(result.report.InFlight)
	msg.Limit = uint32(result.report.Limit)
	return msg
}

// Drain implements admin.Backend.
func (b *backend) Drain(ctx context.Context, operator string, r *adminpb.DrainRequest) (*adminpb.DrainResponse, error) {
	request := drainRequest{Operator: operator, Reason: r.GetReason(), WaitMillis: r.GetWaitMs()}
	if r.GetNodeId() == b.server.cfg.NodeID {
		return drainMessage(b.server.drainAndWait(ctx, request)), nil
	}
	m, ok := b.server.control.knownNode(r.GetNodeId())
	if !ok {
		return nil, admin.NotFound("node %s is not a member", r.GetNodeId())
	}
	state, err := b.peers.drain(ctx, m, request)
	if err != nil {
		return nil, admin.Unavailable("node %s: %v", r.GetNodeId(), err)
	}
	return drainMessage(state), nil
}

func drainMessage(s drainState) *adminpb.DrainResponse {
	return &adminpb.DrainResponse{State: s.State, InFlight: uint32(s.InFlight)}
}

// awaitInForce requests reports from all members until the required percentage of them has the
// version in force or the timeout expires. It returns the last count.
func (b *backend) awaitInForce(ctx context.Context, version policy.Version, percent uint32, timeout time.Duration) (inForce, known int) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		members := b.server.control.knownMembers()
		// A count may take longer than the remaining timeout. It runs to its end nevertheless: an
		// interrupted count would report that no node has the version.
		countCtx, cancelCount := context.WithTimeout(context.WithoutCancel(ctx), peerTimeout)
		inForce = countInForce(b.peers.reports(countCtx, members), version)
		cancelCount()
		known = len(members)
		if percent == 0 || inForce*100 >= known*int(percent) || ctx.Err() != nil {
			return inForce, known
		}
		wait.For(ctx, inForcePollInterval)
	}
}

func countInForce(reports []reportResult, version policy.Version) int {
	n := 0
	for i := range reports {
		if reports[i].err == nil && reports[i].report.Folded >= uint64(version) {
			n++
		}
	}
	return n
}
