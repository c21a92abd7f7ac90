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

// settingsPollInterval is the time between checks of the settings file: the file may be replaced
// without a signal, and a changed address or bound should take effect within seconds. Reading 1 KB
// costs microseconds.
const settingsPollInterval = 2 * time.Second

// settingsWatcher applies changes of the settings file to the running node. A file that is unreadable
// or invalid changes nothing: the settings in force stay, and a log line names the error and, for an
// invalid file, the field.
type settingsWatcher struct {
	path   string
	mesh   *mesh.Mesh
	logger zerolog.Logger
	// lastHash is the SHA-256 of the file's content at the last check, valid or not.
	lastHash [sha256.Size]byte
}

// recordHash records the current content of the file as the one in force.
func (w *settingsWatcher) recordHash() {
	raw, err := os.ReadFile(w.path)
	if err != nil {
		w.logger.Warn().Err(err).Msg("settings file became unreadable after the start; the next check reads it again")
		return
	}
	w.lastHash = sha256.Sum256(raw)
}

// watch checks the file at SIGHUP and every settingsPollInterval. It returns at any other signal.
func (w *settingsWatcher) watch(signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return
			}
			w.logger.Info().Msg("SIGHUP received; checking the settings file for changes")
			w.reloadIfChanged()
		case <-ticker.C:
			w.reloadIfChanged()
		}
	}
}

// reloadIfChanged applies the file's settings if its content differs from the last check.
func (w *settingsWatcher) reloadIfChanged() {
	raw, err := os.ReadFile(w.path)
	if err != nil {
		w.logger.Warn().Err(err).Msg("settings file not readable, settings stay in force")
		return
	}
	sum := sha256.Sum256(raw)
	if sum == w.lastHash {
		return
	}
	w.lastHash = sum
	newSettings, err := settings.ParseMesh(raw)
	if err != nil {
		w.logger.Error().Err(err).Msg("settings file is not valid, settings stay in force")
		return
	}
	applyToProcess(newSettings, w.logger)
	w.mesh.Reload(newSettings)
}

// applyToProcess applies the settings that are global to the process: the memory limit and the log
// level.
func applyToProcess(cfg *settings.Mesh, logger zerolog.Logger) {
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(cfg.Resources.MemoryMB) * (1 << 20)))
	level, err := zerolog.ParseLevel(cfg.Logging.Level)
	if err != nil {
		logger.Error().Err(err).Msg("logging.level is unknown, the level stays")
		return
	}
	zerolog.SetGlobalLevel(level)
}
