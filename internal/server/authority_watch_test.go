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
	w := newTestCluster(t)
	shortValidity := func(c *settings.Node) { c.Timing.Authority = settings.Duration(authority) }
	s, other := w.start("letters-1", shortValidity), w.start("letters-2", shortValidity)
	w.announceAddress(s, "letters", "127.0.0.1:1")
	w.announceAddress(other, "letters", "127.0.0.1:1")
	w.waitFor("ownership", func() bool { return s.OwnersSettled() && other.OwnersSettled() && s.ownership.state.OwnedSlots() > 0 })
	must.Less(t, lease.DefaultConfig().Validity, 2*authority)
	s.ownership.checkAuthority(s.node.Now().Add(2 * authority))
	lostFilter := timeline.Filter{Kinds: []timeline.Kind{timeline.AuthorityLost}}
	must.Positive(t, len(s.node.Ring().Events(lostFilter)))
}
