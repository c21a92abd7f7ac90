package server

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/lease"
	"github.com/galenagrade/galenagrade/internal/settings"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

// Guards against a guard that starts calls after the validity that timing.authority sets,
// because it uses the default validity instead.
func TestAuthorityValidityFollowsSettings(t *testing.T) {
	const authority = time.Second
	cluster := newTestCluster(t)
	shortValidity := func(c *settings.Node) { c.Timing.Authority = settings.Duration(authority) }
	s, other := cluster.start("letters-1", shortValidity), cluster.start("letters-2", shortValidity)
	cluster.announceAddress(s, "letters", "127.0.0.1:1")
	cluster.announceAddress(other, "letters", "127.0.0.1:1")
	cluster.waitFor("ownership", func() bool { return s.OwnersSettled() && other.OwnersSettled() && s.ownership.state.OwnedSlots() > 0 })
	must.Less(t, lease.DefaultConfig().Validity, 2*authority)
	s.ownership.checkAuthority(s.node.Now().Add(2 * authority))
	lostFilter := timeline.Filter{Kinds: []timeline.Kind{timeline.AuthorityLost}}
	must.Positive(t, len(s.node.Ring().Events(lostFilter)))
}
