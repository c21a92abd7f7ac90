package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/mesh"
	"github.com/galenagrade/galenagrade/internal/settings"
	"github.com/galenagrade/galenagrade/platform"
	"github.com/galenagrade/galenagrade/platform/standin"
)

const meshFile = `{
  "node_id": "n1", "region": "r", "zone": "z", "service": "archive", "upstream_address": "127.0.0.1:1",
  "listen": {"callers": "127.0.0.1:0", "inner": "127.0.0.1:0", "ready": "127.0.0.1:0", "announce": "127.0.0.1:0"},
  "store": {"address": "STORE"}, "retries": {"ratio": RATIO, "floor": 10, "window": "10s"}, "logging": {"level": "info"}
}`

// Guards against an invalid, missing or unchanged settings file that changes the settings in force,
// and against a changed valid file that is not applied.
func TestSettingsFileIsReloadedWhenChanged(t *testing.T) {
	store := standin.Start()
	t.Cleanup(store.Close)
	path := filepath.Join(t.TempDir(), "node.json")
	writeSettings := func(ratio string) {
		doc := strings.NewReplacer("STORE", store.Address(), "RATIO", ratio).Replace(meshFile)
		must.NoError(t, os.WriteFile(path, []byte(doc), 0o600))
	}
	writeSettings("0.2")
	cfg, err := settings.LoadMesh(path)
	must.NoError(t, err)
	node, err := mesh.Start(cfg, platform.NewAdapter(cfg, zerolog.Nop()), zerolog.Nop())
	must.NoError(t, err)
	t.Cleanup(node.Kill)
	var logBuffer bytes.Buffer
	watcher := &settingsWatcher{path: path, mesh: node, logger: zerolog.New(&logBuffer)}
	watcher.recordHash()
	watcher.reloadIfChanged()
	must.EqOp(t, "", logBuffer.String())
	writeSettings("0.5")
	watcher.reloadIfChanged()
	must.EqOp(t, 0.5, node.Settings().Retries.Ratio)
	writeSettings("-1")
	watcher.reloadIfChanged()
	must.StrContains(t, logBuffer.String(), "retries.ratio")
	must.EqOp(t, 0.5, node.Settings().Retries.Ratio)
	must.NoError(t, os.Remove(path))
	watcher.reloadIfChanged()
	must.EqOp(t, 0.5, node.Settings().Retries.Ratio)
	writeSettings("0.1")
	watcher.reloadIfChanged()
	must.EqOp(t, 0.1, node.Settings().Retries.Ratio)
}
