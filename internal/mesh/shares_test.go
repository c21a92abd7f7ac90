package mesh

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/routes"
	"github.com/galenagrade/galenagrade/internal/settings"
	"github.com/galenagrade/galenagrade/internal/share"
)

func startShares(t *testing.T, now time.Time, overrides ...settings.ShareOverride) *shares {
	m := &Mesh{logger: zerolog.Nop(), rateLimited: zerolog.Nop(), metrics: metrics.New(1), overview: &overviewExchange{}}
	m.tunable.Store(&settings.Mesh{Shares: settings.Shares{Enabled: true, Overrides: overrides}})
	s := &shares{mesh: m, divider: &share.Divider{}}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workspaces = []share.Workspace{{Name: "north"}, {Name: "south"}}
	s.configureLocked(now)
	return s
}

// Guards against a crash when shares are switched off at the moment at which an override ends.
func TestSharesSwitchedOffWhileAnOverrideEnds(t *testing.T) {
	now := time.Now()
	weight := 2.0
	s := startShares(t, now, settings.ShareOverride{Workspace: "south", Weight: &weight, Until: now.Add(time.Minute).Format(time.RFC3339)})
	s.mesh.tunable.Store(&settings.Mesh{})
	s.update(now.Add(2 * time.Minute))
	must.Nil(t, s.divider.Book())
}

// Guards against ignored overrides that are still counted after shares were switched off.
func TestSharesSwitchedOffIgnoreNoOverrides(t *testing.T) {
	weight := 2.0
	s := startShares(t, time.Now(), settings.ShareOverride{Workspace: "nobody", Weight: &weight})
	must.EqOp(t, 1, s.mesh.metrics.Gauge(metrics.ShareOverridesIgnored))
	s.mesh.tunable.Store(&settings.Mesh{})
	s.setRoutes(&routes.Config{})
	must.Zero(t, s.mesh.metrics.Gauge(metrics.ShareOverridesIgnored))
}
