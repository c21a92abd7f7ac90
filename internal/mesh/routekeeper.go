package mesh

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/records"
	"github.com/galenagrade/galenagrade/internal/routes"
)

const (
	// routesPath is the path at which a node serves its routes to other nodes.
	routesPath = "/routes"
	// maxRoutesBytes bounds the routes fetched from another node, in bytes: 16,384 routes of some
	// 300 bytes.
	maxRoutesBytes = 8 << 20
	// failedFetchPause is the pause after a failed fetch from another node before the next one.
	failedFetchPause = 200 * time.Millisecond
)

// routeKeeper holds the routes in force. A version is never replaced by an older one. It
// implements proxy.Versions.
type routeKeeper struct {
	mesh     *Mesh
	follower *records.Follower
	version  atomic.Int64
	fetching atomic.Bool

	mu sync.Mutex
}

func newRouteKeeper(m *Mesh) *routeKeeper {
	k := &routeKeeper{mesh: m}
	k.follower = records.NewFollower(m.platform.RoutesTopic(), k.apply, m.newRelay(records.RoutesWatchWait), m.logger)
	k.follower.ReadWait = records.RoutesReadWait
	return k
}

// Version implements proxy.Versions.
func (k *routeKeeper) Version() int64 { return k.version.Load() }

// ObserveVersion implements proxy.Versions. A node that can't reach the store sees newer
// versions in calls of other nodes, and fetches the routes from the node that has them.
func (k *routeKeeper) ObserveVersion(addr string, version int64) {
	if addr == "" || version <= k.version.Load() {
		return
	}
	k.fetch(addr)
}

// fetch fetches the routes of another node, and its member records if none were read yet. It
// doesn't block; at most one fetch is under way.
func (k *routeKeeper) fetch(addr string) {
	if !k.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer k.fetching.Store(false)
		if err := k.fetchFrom(addr); err != nil {
			k.mesh.logger.Warn().Str("address", addr).Int64("version", k.Version()).Err(err).Msg("routes of another node not fetched; the routes in force stay")
			time.Sleep(failedFetchPause)
		}
	}()
}

func (k *routeKeeper) fetchFrom(addr string) error {
	ctx, cancel := context.WithTimeout(context.Background(), records.StoreCallTimeout)
	defer cancel()
	if !k.mesh.members.isInitialized() {
		if err := k.mesh.fetchMembers(ctx, addr); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+routesPath, nil)
	if err != nil {
		return err
	}
	raw, err := k.mesh.sendControl(req, maxRoutesBytes)
	var status *statusError
	if errors.As(err, &status) && status.status == http.StatusNotFound {
		return nil // the other node has no routes yet either
	}
	if err != nil {
		return err
	}
	var config routes.Config
	if err := json.Unmarshal(raw, &config); err != nil {
		return errors.Wrap(err, "decode routes of another node")
	}
	return k.install(&config, "node "+addr)
}

func (k *routeKeeper) apply(items []records.Item) {
	for _, item := range items {
		config, ok, err := k.mesh.platform.DecodeRoutes(item)
		if err != nil {
			k.mesh.logger.Error().Str("key", item.Key).Err(err).Msg("published routes are invalid; the previous routes stay in force")
			continue
		}
		if !ok {
			continue
		}
		if err := k.install(config, "store"); err != nil {
			k.mesh.logger.Error().Int64("version", config.Version).Err(err).Msg("published routes are invalid; the previous routes stay in force")
		}
	}
}

// PutRoutes puts routes in force at this node that did not come from the store, unless they are
// older than those in force. It returns an error if they are invalid.
func (m *Mesh) PutRoutes(config *routes.Config) error { return m.routes.install(config, "given") }

// install puts routes in force unless they are older than those in force.
func (k *routeKeeper) install(config *routes.Config, source string) error {
	if err := config.Validate(); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if config.Version <= k.version.Load() {
		return nil
	}
	seed := k.mesh.node.Incarnation()
	k.mesh.quotas.setRoutes(config)
	k.mesh.shares.setRoutes(config)
	k.mesh.proxy.SetRoutes(routes.NewTable(k.mesh.proxy.Routes(), config, seed))
	previous := k.version.Swap(config.Version)
	k.mesh.logger.Info().Int64("version", config.Version).Int64("before", previous).Str("source", source).Int("routes", len(config.Routes)).Int("workspaces", len(config.Workspaces)).Msg("new version of the routes is in force")
	return nil
}

// refresh puts the quotas and shares in force again, after a change of settings.
func (k *routeKeeper) refresh() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if table := k.mesh.proxy.Routes(); table != nil {
		k.mesh.quotas.setRoutes(table.Config())
		k.mesh.shares.setRoutes(table.Config())
	}
}

// ServeHTTP serves the routes in force to other nodes.
func (k *routeKeeper) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	table := k.mesh.proxy.Routes()
	if table == nil {
		http.Error(w, "no routes in force at this node yet", http.StatusNotFound)
		return
	}
	k.mesh.sendJSON(w, table.Config())
}
