package main

import (
	"crypto/sha256"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/galenagrade/galenagrade/internal/mesh"
	"github.com/galenagrade/galenagrade/internal/settings"
)

// lookEvery is how often the settings file is looked at: it may be replaced
// without a signal, and a change of an address or bound should hold within
// seconds. Reading 1 KB costs microseconds.
const lookEvery = 2 * time.Second

// settingsFile puts changes of the settings file in force. A file that can't be
// read or isn't valid changes nothing: what was in force stays, and a line says
// which field is wrong.
type settingsFile struct {
	path   string
	mesh   *mesh.Mesh
	logger zerolog.Logger
	seen   [sha256.Size]byte
}

// remember takes the file as it is for the one in force.
func (f *settingsFile) remember() {
	raw, err := os.ReadFile(f.path)
	if err != nil {
		f.logger.Warn().Err(err).Msg("settings file not readable any more")
		return
	}
	f.seen = sha256.Sum256(raw)
}

// watch returns at a signal to stop.
func (f *settingsFile) watch(signals <-chan os.Signal) {
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return
			}
			f.logger.Info().Msg("signal to reload")
			f.look()
		case <-look.C:
			f.look()
		}
	}
}

func (f *settingsFile) look() {
	raw, err := os.ReadFile(f.path)
	if err != nil {
		f.logger.Warn().Err(err).Msg("settings file not readable, settings stay in force")
		return
	}
	sum := sha256.Sum256(raw)
	if sum == f.seen {
		return
	}
	f.seen = sum
	next, err := settings.ParseMesh(raw)
	if err != nil {
		f.logger.Error().Err(err).Msg("settings file is not valid, settings stay in force")
		return
	}
	applyToProcess(next, f.logger)
	f.mesh.Reload(next)
}

// applyToProcess sets what holds for the whole process.
func applyToProcess(cfg *settings.Mesh, logger zerolog.Logger) {
	debug.SetMemoryLimit(int64(memoryShare * float64(cfg.Resources.MemoryMB) * (1 << 20)))
	level, err := zerolog.ParseLevel(cfg.Logging.Level)
	if err != nil {
		logger.Error().Err(err).Msg("logging.level is unknown, the level stays")
		return
	}
	zerolog.SetGlobalLevel(level)
}
