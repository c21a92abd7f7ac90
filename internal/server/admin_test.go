package server

import (
	"encoding/json"
	"net/http"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/admin/adminpb"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/settings"
	"github.com/galenagrade/galenagrade/internal/standin/logd"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

// startPair starts two nodes with one upstream of the service letters each.
func startPair(t *testing.T) (*testCluster, *Server, *Server) {
	cluster := newTestCluster(t)
	a, b := cluster.start("letters-1", nil), cluster.start("letters-2", nil)
	echo := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("letter")) })
	cluster.announceUpstream(a, "letters", echo)
	cluster.announceUpstream(b, "letters", echo)
	cluster.awaitTargets("letters", 2, a, b)
	return cluster, a, b
}

// Guards against two concurrent changes that are both accepted, and against a resent change
// that counts as a second one. Both operators base their change on the same version. The change
// that is first in the log is accepted; the response to the other operator names it.
func TestRacingPublicationsAcceptOneAndReportTheConflict(t *testing.T) {
	cluster, a, b := startPair(t)
	base := cluster.publishInstance(a, "letters")
	must.Eq(t, 2, int(base.NodesInForce))
	var pubs [2]*adminpb.Publication
	var errs [2]error
	contenders := []struct {
		at               *Server
		operator, change string
		values           string
	}{
		{a, "mori", "change-mori", `{"retry_allowance": 3}`},
		{b, "abe", "change-abe", `{"retry_allowance": 4}`},
	}
	var wg sync.WaitGroup
	for i, r := range contenders {
		wg.Go(func() {
			pubs[i], errs[i] = cluster.setInstance(r.at, r.operator, "letters", r.change, base.Version, r.values)
		})
	}
	wg.Wait()
	must.NoError(t, errs[0])
	must.NoError(t, errs[1])
	must.NotEq(t, pubs[0].Accepted, pubs[1].Accepted)
	winner := 0
	if pubs[1].Accepted {
		winner = 1
	}
	conflicted := pubs[1-winner]
	must.Eq(t, contenders[winner].operator, conflicted.LostToOperator)
	must.Eq(t, contenders[winner].change, conflicted.LostToChangeId)
	must.Eq(t, pubs[winner].Version, conflicted.LostToVersion)
	must.StrContains(t, conflicted.Detail, "retry_allowance")

	changes := cluster.countChanges()
	resent, err := cluster.setInstance(contenders[winner].at, contenders[winner].operator, "letters", contenders[winner].change, base.Version, contenders[winner].values)
	must.NoError(t, err)
	must.True(t, resent.Accepted)
	must.Eq(t, pubs[winner].Version, resent.Version)
	must.Eq(t, changes, cluster.countChanges())
	_, err = cluster.setInstance(a, "mori", "ledgers", contenders[winner].change, 0, `{}`)
	must.Eq(t, connect.CodeInvalidArgument, connect.CodeOf(err))
}

// Guards against a change that is reported as accepted although the log has not stored it. The
// log is unavailable until the operator's deadline passes.
func TestChangeIsNotAcceptedWhileLogIsUnavailable(t *testing.T) {
	cluster, a, _ := startPair(t)
	base := cluster.publishInstance(a, "letters")
	cluster.log.Update(func(k *logd.Knobs) { k.Outage = true })
	change := connect.NewRequest(&adminpb.SetInstanceRequest{
		Workspace: "chikugo", Service: "letters", ValuesJson: `{"retry_allowance": 3}`, Merge: true,
		BasedOn: base.Version, ChangeId: "open",
	})
	ctx, cancel := shortDeadline(t)
	defer cancel()
	_, err := cluster.admin(a, "abe").SetInstance(ctx, change)
	must.SliceContains(t, []connect.Code{connect.CodeUnavailable, connect.CodeAborted}, connect.CodeOf(err))
	cluster.waitFor("status reports the log as unavailable", func() bool {
		st, err := cluster.admin(a, "view").Status(t.Context(), connect.NewRequest(&adminpb.StatusRequest{}))
		return err == nil && !st.Msg.LogAvailable
	})
	cluster.log.Update(func(k *logd.Knobs) { k.Outage = false })
	pub, err := cluster.setInstance(a, "abe", "letters", "open", base.Version, `{"retry_allowance": 3}`)
	must.NoError(t, err)
	must.True(t, pub.Accepted)
	show, err := cluster.admin(a, "view").ShowInstance(t.Context(), connect.NewRequest(&adminpb.ShowInstanceRequest{Workspace: "chikugo", Service: "letters"}))
	must.NoError(t, err)
	must.StrContains(t, show.Msg.EffectiveJson, `"retry_allowance":"3"`)
}

// Guards against a stored change that is reported as failed or decided twice. The log stores
// the change and its acknowledgement is lost; the node reads the change back and reports it as
// accepted.
func TestLostAcknowledgementIsResolvedByReadBack(t *testing.T) {
	cluster, a, _ := startPair(t)
	base := cluster.publishInstance(a, "letters")
	cluster.log.Update(func(k *logd.Knobs) { k.AcksToLose = 1 })
	pub, err := cluster.setInstance(a, "abe", "letters", "acked", base.Version, `{"retry_allowance": 3}`)
	must.NoError(t, err)
	must.True(t, pub.Accepted)
	must.Eq(t, 2, int(pub.NodesInForce))
	next, err := cluster.setInstance(a, "abe", "letters", "after", pub.Version, `{"retry_allowance": 4}`)
	must.NoError(t, err)
	must.True(t, next.Accepted)
}

// Guards against a diff that shows unchanged fields, and against a value out of bounds that
// reaches the log.
func TestDiffAndFaultyValues(t *testing.T) {
	cluster, a, _ := startPair(t)
	cluster.publishInstance(a, "letters")
	diff, err := cluster.admin(a, "view").DiffInstance(t.Context(), connect.NewRequest(&adminpb.DiffInstanceRequest{
		Workspace: "chikugo", Service: "letters", ValuesJson: `{"max_wait":"250ms"}`, Merge: true,
	}))
	must.NoError(t, err)
	must.Len(t, 1, diff.Msg.Differences)
	must.Eq(t, "max_wait", diff.Msg.Differences[0].Path)
	must.Eq(t, `"250ms"`, diff.Msg.Differences[0].ToJson)
	changes := cluster.countChanges()
	_, err = cluster.setInstance(a, "abe", "letters", "bad", diff.Msg.BasedOn, `{"retry_allowance": 99}`)
	must.Eq(t, connect.CodeInvalidArgument, connect.CodeOf(err))
	must.ErrorContains(t, err, "at most 4")
	must.Eq(t, changes, cluster.countChanges())
}

// Guards against an unreachable node that counts as a node with the change in force, and against a
// timeline that does not name the nodes whose events are missing.
func TestUnreachableNodeIsListedAsUnknown(t *testing.T) {
	cluster, a, b := startPair(t)
	cluster.publishInstance(a, "letters")
	all, err := cluster.admin(a, "view").Status(t.Context(), connect.NewRequest(&adminpb.StatusRequest{Workspace: "chikugo"}))
	must.NoError(t, err)
	must.Eq(t, 2, int(all.Msg.NodesInForce))
	_ = b.listeners.inner.Close()
	b.servers[2].Close()
	st, err := cluster.admin(a, "view").Status(t.Context(), connect.NewRequest(&adminpb.StatusRequest{LaggingOnly: true}))
	must.NoError(t, err)
	must.Eq(t, 1, int(st.Msg.NodesInForce))
	must.Len(t, 1, st.Msg.Nodes)
	must.Eq(t, "letters-2", st.Msg.Nodes[0].NodeId)
	must.StrHasPrefix(t, "unknown", st.Msg.Nodes[0].Detail)
	tl, err := cluster.admin(a, "mori").Timeline(t.Context(), connect.NewRequest(&adminpb.TimelineRequest{AllNodes: true}))
	must.NoError(t, err)
	must.Eq(t, []string{"letters-2"}, tl.Msg.UnreachableNodes)
}

// Guards against a change that counts as in force on a lagging node, and against a lagging
// node that publishes a change based on a version that it does not have.
func TestLaggingNodeIsListed(t *testing.T) {
	cluster := newTestCluster(t)
	a := cluster.start("letters-1", nil)
	b := cluster.start("letters-2", nil)
	for _, s := range []*Server{a, b} {
		cluster.announceUpstream(s, "letters", http.NotFoundHandler())
	}
	cluster.awaitTargets("letters", 2, a)
	// Blocking the node's access to the log is not enough: it receives the records from a. The
	// lock stops it from applying them.
	b.control.applyMu.Lock()
	release := sync.OnceFunc(b.control.applyMu.Unlock)
	t.Cleanup(release)
	pub, err := cluster.setInstance(a, "mori", "letters", "none", 0, `{}`)
	must.Eq(t, connect.CodeNotFound, connect.CodeOf(err))
	must.Nil(t, pub)
	cluster.publishTemplate(a)
	lagging := func() []string {
		st, err := cluster.admin(a, "view").Status(t.Context(), connect.NewRequest(&adminpb.StatusRequest{LaggingOnly: true}))
		must.NoError(t, err)
		var names []string
		for _, n := range st.Msg.Nodes {
			names = append(names, n.NodeId)
		}
		return names
	}
	must.Eq(t, []string{"letters-2"}, lagging())
	doc, err := json.Marshal(libraryTemplate(t, "balanced"))
	must.NoError(t, err)
	_, err = cluster.admin(b, "mori").PublishTemplate(t.Context(), connect.NewRequest(&adminpb.PublishTemplateRequest{
		Name: "balanced", DocumentJson: string(doc), ChangeId: "late", BasedOn: uint64(a.node.Policy().TemplateVersion("balanced")),
	}))
	must.Eq(t, connect.CodeUnavailable, connect.CodeOf(err))
	must.ErrorContains(t, err, "this node lags")
	release()
	cluster.waitFor("lagging node catches up", func() bool { return len(lagging()) == 0 })
}

// Guards against a change that counts as in force on no node. This happens when the join
// record of the only node was not read yet.
func TestNodeCountsItselfBeforeItsJoinIsRead(t *testing.T) {
	cluster := newTestCluster(t)
	a := cluster.startWith("letters-1", joinRejectingLog{cluster.log}, nil)
	cluster.announceUpstream(a, "letters", http.NotFoundHandler())
	pub := cluster.publishInstance(a, "letters")
	must.Eq(t, 1, int(pub.NodesKnown))
	must.Eq(t, 1, int(pub.NodesInForce))
	st, err := cluster.admin(a, "mori").Status(t.Context(), connect.NewRequest(&adminpb.StatusRequest{}))
	must.NoError(t, err)
	must.Eq(t, 1, int(st.Msg.NodesKnown))
	must.Eq(t, 1, int(st.Msg.NodesInForce))
	must.Eq(t, "letters-1", st.Msg.Nodes[0].NodeId)
}

// Guards against access beyond what a token covers. A viewer, a caller and an unknown token
// each send a request that is not allowed; all are refused and recorded on the timeline.
func TestTokensLimitAccess(t *testing.T) {
	cluster, a, _ := startPair(t)
	cluster.publishInstance(a, "letters")
	_, err := cluster.setInstance(a, "view", "letters", "v", 0, `{}`)
	must.Eq(t, connect.CodePermissionDenied, connect.CodeOf(err))
	_, err = cluster.admin(a, "caller").Status(t.Context(), connect.NewRequest(&adminpb.StatusRequest{}))
	must.Eq(t, connect.CodePermissionDenied, connect.CodeOf(err))
	_, err = cluster.admin(a, "guess").Status(t.Context(), connect.NewRequest(&adminpb.StatusRequest{}))
	must.Eq(t, connect.CodeUnauthenticated, connect.CodeOf(err))
	must.Len(t, 3, a.node.Ring().Events(timeline.Filter{Kinds: []timeline.Kind{timeline.AuthRefused}}))
	list, err := cluster.admin(a, "view").Members(t.Context(), connect.NewRequest(&adminpb.MembersRequest{}))
	must.NoError(t, err)
	must.Len(t, 2, list.Msg.Members)
	must.Eq(t, "alive", list.Msg.Members[0].State)
}

// Guards against calls without a valid caller token, and against a token that is forwarded to
// the upstream.
func TestCallerTokens(t *testing.T) {
	cluster := newTestCluster(t)
	s := cluster.start("letters-1", func(c *settings.Node) { c.Callers.RequireToken = true })
	var seen []string
	cluster.announceUpstream(s, "letters", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		seen = append(seen, r.Header.Get("Authorization"))
	}))
	cluster.awaitTargets("letters", 1, s)
	cluster.publishInstance(s, "letters")
	for _, token := range []string{"", "guess", "abe"} {
		status, h, _ := cluster.call(s, "letters", token)
		must.Eq(t, http.StatusForbidden, status)
		must.Eq(t, "4007", h.Get(result.HeaderResult))
	}
	must.SliceEmpty(t, seen)
	status, _, _ := cluster.call(s, "letters", "caller")
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, []string{""}, seen)
}

// Guards against a drained node that accepts new calls. An operator drains a node through
// another one; the node reports that it is draining, and calls continue on the remaining node.
func TestDrainOfAnotherNode(t *testing.T) {
	cluster, a, b := startPair(t)
	cluster.publishInstance(a, "letters")
	resp, err := cluster.admin(a, "abe").Drain(t.Context(), connect.NewRequest(&adminpb.DrainRequest{NodeId: "letters-2", Reason: "kernel", WaitMs: 1000}))
	must.NoError(t, err)
	must.Eq(t, "drained", resp.Msg.State)
	must.True(t, b.node.Guard().Draining())
	started := b.node.Ring().Events(timeline.Filter{Kinds: []timeline.Kind{timeline.DrainStarted}})
	must.Len(t, 1, started)
	must.Eq(t, "abe: kernel", started[0].Detail)
	for range 5 {
		status, _, _ := cluster.call(b, "letters", "")
		must.Eq(t, http.StatusOK, status)
	}
	list, err := cluster.admin(a, "view").Members(t.Context(), connect.NewRequest(&adminpb.MembersRequest{}))
	must.NoError(t, err)
	must.Eq(t, "alive", list.Msg.Members[0].State)
	must.Eq(t, "draining", list.Msg.Members[1].State)
	_, err = cluster.admin(a, "mori").Drain(t.Context(), connect.NewRequest(&adminpb.DrainRequest{NodeId: "nobody"}))
	must.Eq(t, connect.CodeNotFound, connect.CodeOf(err))
}

// Guards against an event stream that delays the stop of its node. An operator follows the
// events while the node stops; the stream must end.
func TestEventStreamEndsWhenTheNodeStops(t *testing.T) {
	cluster := newTestCluster(t)
	s := cluster.start("letters-1", nil)
	// The guard adds an event about its limit at its first tick, whose time varies. The filter
	// excludes that event, so that only the two expected events remain.
	kinds := []string{string(timeline.NodeStarted), string(timeline.Cleared)}
	stream, err := cluster.admin(s, "mori").Events(t.Context(), connect.NewRequest(&adminpb.EventsRequest{Follow: true, Filter: &adminpb.EventFilter{Kinds: kinds}}))
	must.NoError(t, err)
	must.True(t, stream.Receive())
	must.StrContains(t, stream.Msg().EventJson, string(timeline.NodeStarted))
	s.node.Event(s.node.Now(), timeline.Event{Kind: timeline.Cleared})
	must.True(t, stream.Receive())
	must.StrContains(t, stream.Msg().EventJson, string(timeline.Cleared))
	ended := make(chan struct{})
	go func() {
		for stream.Receive() {
		}
		close(ended)
	}()
	s.endStreams()
	<-ended
	must.NoError(t, stream.Close())
}
