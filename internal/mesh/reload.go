package mesh

import "github.com/galenagrade/galenagrade/internal/settings"

// Reload applies the settings that may change while the node runs: retry budgets, quotas, shares, room
// for trees, the balance of upstreams, the grace of a stop, the store's address. next must be valid. It
// returns the names of the changed fields that need a restart; those keep their old values.
func (m *Mesh) Reload(next *settings.Mesh) []string {
	previous := m.tunable.Load()
	moves := previous.Store.Address != next.Store.Address || previous.Store.Name != next.Store.Name
	if moves {
		// Other nodes that moved already read through this one as soon as its settings name the new store.
		m.routes.follower.LeaveStore()
		m.membersFollower.LeaveStore()
	}
	m.tunable.Store(next)
	if moves {
		m.platform.SetStore(next.Store.Address)
		m.routes.follower.ResyncNow()
		m.membersFollower.ResyncNow()
	}
	m.proxy.SetReserve(next.Trees.Reserve, next.Trees.Overcommit)
	m.bodies.SetLimits(bodyLimits(next.Resources))
	m.applyBalance()
	m.members.refresh()
	m.routes.refresh()
	needRestart := m.cfg.NeedRestart(next)
	m.logger.Info().Strs("need_restart", needRestart).Float64("retry_ratio", next.Retries.Ratio).Float64("retry_floor", next.Retries.Floor).
		Bool("reserve", next.Trees.Reserve).Bool("hand_back", next.Balance.HandBack).Bool("speeds", next.Balance.Speeds).Dur("grace_ms", next.Stop.Grace.Std()).Str("store", next.Store.Address).Msg("settings reloaded")
	return needRestart
}

// Settings returns the settings in force; they must not be changed.
func (m *Mesh) Settings() *settings.Mesh { return m.tunable.Load() }
