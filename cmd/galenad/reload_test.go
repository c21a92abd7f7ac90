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

// Guards against a wrong settings file that changes something, or a sound one that is not taken up.
func TestSettingsFileThatChanges(t *testing.T) {
	store := standin.Start()
	t.Cleanup(store.Close)
	path := filepath.Join(t.TempDir(), "node.json")
	write := func(ratio string) {
		doc := strings.NewReplacer("STORE", store.Address(), "RATIO", ratio).Replace(meshFile)
		must.NoError(t, os.WriteFile(path, []byte(doc), 0o600))
	}
	write("0.2")
	cfg, err := settings.LoadMesh(path)
	must.NoError(t, err)
	m, err := mesh.Start(cfg, platform.NewAdapter(cfg, zerolog.Nop()), zerolog.Nop())
	must.NoError(t, err)
	t.Cleanup(m.Kill)
	var log bytes.Buffer
	f := &settingsFile{path: path, mesh: m, logger: zerolog.New(&log)}
	f.remember()
	f.look()
	must.EqOp(t, "", log.String())
	write("0.5")
	f.look()
	must.EqOp(t, 0.5, m.Settings().Retries.Ratio)
	write("-1")
	f.look()
	must.StrContains(t, log.String(), "retries.ratio")
	must.EqOp(t, 0.5, m.Settings().Retries.Ratio)
	must.NoError(t, os.Remove(path))
	f.look()
	must.EqOp(t, 0.5, m.Settings().Retries.Ratio)
	write("0.1")
	f.look()
	must.EqOp(t, 0.1, m.Settings().Retries.Ratio)
}
