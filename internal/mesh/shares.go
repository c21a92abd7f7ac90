package mesh

import (
	"context"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/galenagrade/galenagrade/internal/admission"
	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/overview"
	"github.com/galenagrade/galenagrade/internal/routes"
	"github.com/galenagrade/galenagrade/internal/share"
)

// shareInterval is the time between two updates of the demand by which requests are divided: a fraction
// of the time over which rates are averaged.
const shareInterval = 250 * time.Millisecond

// shares divides requests among workspaces by the demand in view.
type shares struct {
	mesh    *Mesh
	divider *share.Divider

	mu         sync.Mutex
	workspaces []share.Workspace
	updatedAt  time.Time
	dividing   bool
	ignored    []string
}

func newShares(m *Mesh) *shares {
	s := &shares{mesh: m, divider: &share.Divider{}}
	m.proxy.Divide(s.divider)
	return s
}

// setRoutes applies the workspaces of new routes.
func (s *shares) setRoutes(config *routes.Config) {
	workspaces := make([]share.Workspace, 0, len(config.Workspaces))
	for i := range config.Workspaces {
		w := &config.Workspaces[i]
		workspaces = append(workspaces, share.Workspace{Name: w.Name, Rate: w.Rate, Level: w.Level})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workspaces = workspaces
	s.configureLocked(time.Now())
}

// configureLocked puts workspaces and settings in force.
func (s *shares) configureLocked(now time.Time) {
	settings := s.mesh.Settings().Shares
	if !settings.Enabled {
		s.divider.Configure(nil, nil)
		s.noteIgnoredLocked(nil)
		return
	}
	overrides := make([]share.Override, 0, len(settings.Overrides))
	for i := range settings.Overrides {
		overrides = append(overrides, settings.Overrides[i].Override())
	}
	book := share.NewBook(s.workspaces, overrides, now)
	s.divider.Configure(s.workspaces, book)
	s.noteIgnoredLocked(book.Ignored())
}

// noteIgnoredLocked records the workspaces whose overrides are ignored, and logs a change.
func (s *shares) noteIgnoredLocked(workspaces []string) {
	s.mesh.metrics.SetGauge(metrics.ShareOverridesIgnored, int64(len(workspaces)))
	if slices.Equal(workspaces, s.ignored) {
		return
	}
	s.ignored = workspaces
	if len(workspaces) > 0 {
		s.mesh.rateLimited.Warn().Strs("workspaces", workspaces).Msg("overrides of shares ignored; the routes in force have no such workspaces")
	}
}

// run updates the demand until ctx is canceled.
func (s *shares) run(ctx context.Context) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.update(time.Now())
		}
	}
}

func (s *shares) update(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if book := s.divider.Book(); book != nil && book.Expired(now) {
		s.configureLocked(now)
		s.mesh.logger.Info().Int("workspaces", book.Workspaces()).Msg("an override of shares has ended")
	}
	if s.divider.Book() == nil {
		s.noteDividingLocked(false, nil, now)
		return
	}
	elapsed := now.Sub(s.updatedAt)
	if s.updatedAt.IsZero() {
		elapsed = shareInterval
	}
	s.updatedAt = now
	view := s.mesh.overview.Current(now)
	s.noteDividingLocked(s.divider.Update(elapsed, view), view, now)
	s.logCutsLocked()
}

// noteDividingLocked records whether requests are divided, and logs a change.
func (s *shares) noteDividingLocked(dividing bool, view *overview.View, now time.Time) {
	if dividing == s.dividing {
		return
	}
	s.dividing = dividing
	if dividing {
		s.mesh.logger.Info().Int("zones", len(view.Zones)).Int64("age_ms", viewAge(view, now)).Msg("requests are divided by the shares of their workspaces")
		return
	}
	s.mesh.logger.Warn().Int64("age_ms", viewAge(view, now)).Msg("requests are no longer divided by shares; all workspaces of a level are alike")
}

// viewAge returns the age of a view in milliseconds; negative if there is none.
func viewAge(view *overview.View, now time.Time) int64 {
	if view == nil || view.ReceivedAt.IsZero() {
		return -1
	}
	return now.Sub(view.ReceivedAt).Milliseconds()
}

func (s *shares) logCutsLocked() {
	for _, c := range s.divider.Meter().CutChanges() {
		if !c.Begins {
			s.mesh.rateLimited.Info().Str("workspace", c.Workspace).Float64("asked_per_s", c.Asked).Msg("workspace is no longer cut beyond others")
			continue
		}
		s.mesh.rateLimited.Info().Str("workspace", c.Workspace).Float64("asked_per_s", c.Asked).Float64("cut_per_s", c.Cut).
			Float64("others_cut", c.OthersCut).Msg("workspace is cut to its share, beyond others")
	}
}

// viewChanged implements overviewConsumer.
func (s *shares) viewChanged(now time.Time, _ *overview.View) { s.update(now) }

// fillReport implements overviewSource.
func (s *shares) fillReport(_ time.Time, r *overview.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if meter := s.divider.Meter(); meter != nil {
		r.Workspaces = meter.Demand()
	}
}

// SharesState is how a node divides requests among workspaces.
type SharesState struct {
	Enabled bool `json:"enabled"`
	// Dividing reports whether requests are divided; without a fresh view they aren't.
	Dividing bool `json:"dividing"`
	// ViewAgeMillis is the age of the view in milliseconds; negative if there is none.
	ViewAgeMillis int64 `json:"view_age_ms"`
	// Shedding is the service that sheds the most, by which Share is worked out; empty if none sheds.
	Shedding         string           `json:"shedding,omitempty"`
	IgnoredOverrides []string         `json:"ignored_overrides,omitempty"`
	Workspaces       []WorkspaceShare `json:"workspaces,omitempty"`
}

// WorkspaceShare is what a workspace asks and gets. Rates are in requests per second.
type WorkspaceShare struct {
	Workspace string  `json:"workspace"`
	Weight    float64 `json:"weight"`
	// Least and Most are 0 if there is no such bound.
	Least float64 `json:"least,omitempty"`
	Most  float64 `json:"most,omitempty"`
	// Demand and Share are over all nodes: what callers ask, and what the service that sheds the most
	// leaves of it.
	Demand float64 `json:"demand"`
	Share  float64 `json:"share"`
	// Asked, Admitted and Cut are at this node.
	Asked    float64 `json:"asked"`
	Admitted float64 `json:"admitted"`
	Cut      float64 `json:"cut"`
	// Reason says why requests of the workspace are cut; empty if none are.
	Reason string `json:"reason,omitempty"`
}

// state returns how this node divides requests; nil while shares are off.
func (s *shares) state(now time.Time) *SharesState {
	service, threshold := s.mesh.proxy.Shedding(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	book, meter := s.divider.Book(), s.divider.Meter()
	if book == nil || meter == nil {
		return nil
	}
	state := &SharesState{
		Enabled: true, Dividing: s.dividing, ViewAgeMillis: viewAge(s.mesh.overview.Current(now), now), Shedding: service,
		IgnoredOverrides: book.Ignored(),
	}
	var positions [callctx.Levels]float64
	for level := range positions {
		positions[level] = share.PositionOf(admission.HashAt(callctx.Level(level), threshold))
	}
	for i := range s.workspaces {
		state.Workspaces = append(state.Workspaces, s.workspaceStateLocked(s.workspaces[i].Name, positions))
	}
	slices.SortFunc(state.Workspaces, func(a, b WorkspaceShare) int { return strings.Compare(a.Workspace, b.Workspace) })
	return state
}

func (s *shares) workspaceStateLocked(name string, positions [callctx.Levels]float64) WorkspaceShare {
	terms := s.divider.Book().Of(name)
	w := WorkspaceShare{Workspace: name, Weight: terms.Weight, Least: terms.Least}
	if !math.IsInf(terms.Most, 1) {
		w.Most = terms.Most
	}
	if cell := s.divider.Meter().Cell(name); cell != nil {
		w.Asked, w.Admitted, w.Cut = cell.Rates()
	}
	table := s.divider.Table()
	if table == nil {
		return w
	}
	over := table.Over(name, positions)
	w.Demand, w.Share = over.Asked, over.Admitted
	w.Reason = reasonOf(w)
	return w
}

// reasonOf says why requests of a workspace are cut.
func reasonOf(w WorkspaceShare) string {
	switch {
	case w.Share >= w.Demand:
		return ""
	case w.Most > 0 && w.Share >= w.Most:
		return "asks more than its most rate"
	case w.Least > 0 && w.Share <= w.Least:
		return "its share is its least rate"
	}
	return "asks more than its share"
}
