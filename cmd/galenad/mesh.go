package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/galenagrade/galenagrade/internal/mesh"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/settings"
	"github.com/galenagrade/galenagrade/platform"
)

type meshCommand struct {
	Config string `required:"" type:"existingfile" env:"GALENAGRADE_NODE_FILE" help:"Settings of the node, one JSON file."`
	Check  bool   `help:"Check the settings and exit."`
}

// memoryLimitShare is the share of the node's memory that is set as the soft limit of the Go runtime.
// Above it the garbage collector runs more often. Stacks, kernel buffers and fragmentation need the
// rest.
const memoryLimitShare = 0.6

// gcPercent is above the default of Go: collections are rarer, which saves processor time and costs
// memory. The memory suffices, since a VM has a few hundred MB for the node and live data take a
// few MB.
const gcPercent = 200

// logFlushTimeout bounds how long the process, at its end, waits until buffered log lines are written:
// the process that reads its standard output may have stopped reading.
const logFlushTimeout = 200 * time.Millisecond

// runMesh runs a mesh node until a signal to stop and returns the exit code.
func runMesh(args meshCommand) int {
	// Must come first: a SIGHUP that arrives before Notify ends the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	cfg, exitCode := load(args.Config, args.Check, settings.LoadMesh)
	if cfg == nil {
		return exitCode
	}
	out := metrics.NewAsyncWriter(os.Stdout)
	defer out.Close(logFlushTimeout)
	// The logger itself passes all levels. The level in force is the global level of zerolog, which a
	// reload of the settings can change.
	loggingConfig := cfg.Logging
	loggingConfig.Level = zerolog.LevelDebugValue
	logger, err := metrics.NewLogger(out, cfg.NodeID, loggingConfig)
	if err != nil {
		fmt.Fprintln(os.Stderr, "galenad:", err)
		return exitSettings
	}
	// The process's own lines bypass the rate limit that applies to the lines of requests.
	sampledLogger := logger
	logger = logger.Sample(nil)
	debug.SetGCPercent(gcPercent)
	applyToProcess(cfg, logger)
	m, err := mesh.Start(cfg, platform.NewAdapter(cfg, sampledLogger), sampledLogger)
	if err != nil {
		logger.Error().Err(err).Msg("node did not start; the process ends")
		return exitFailure
	}
	logger.Info().Str("version", buildVersion()).Str("zone", cfg.Zone).Str("service", cfg.Service).
		Str("callers", cfg.Listen.Callers).Str("inner", cfg.Listen.Inner).Str("store", cfg.Store.Address).
		Int("memory_mb", cfg.Resources.MemoryMB).Msg("started")
	watcher := &settingsWatcher{path: args.Config, mesh: m, logger: logger}
	watcher.recordHash()
	watcher.watch(signals)
	return stopMesh(m, logger)
}

// stopMesh shuts the node down gracefully and returns the exit code.
func stopMesh(m *mesh.Mesh, logger zerolog.Logger) int {
	logger.Info().Int("in_flight", m.InFlight()).Msg("stopping")
	if cut := m.Stop(); cut > 0 {
		logger.Error().Int("cut", cut).Msg("stopped with calls in flight")
		return exitCallsCut
	}
	logger.Info().Msg("stopped")
	return 0
}
