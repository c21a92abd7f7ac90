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

// memoryShare of what the VM gives is where the garbage collector begins to work
// harder: stacks, buffers of the kernel and fragmentation need the rest.
const memoryShare = 0.6

// gcPercent trades memory for processor time: a VM has a few hundred MB for the node, and
// live data are a few MB.
const gcPercent = 200

// lastLines bounds the wait for the reader of the log at the end of the process.
const lastLines = 200 * time.Millisecond

func runMesh(args meshCommand) int {
	// First of all: until then a signal to reload ends the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	cfg, exit := load(args.Config, args.Check, settings.LoadMesh)
	if cfg == nil {
		return exit
	}
	out := metrics.NewAsyncWriter(os.Stdout)
	defer out.Close(lastLines)
	// The level in force is the global one, so that it can change.
	sampled := cfg.Logging
	sampled.Level = zerolog.LevelDebugValue
	logger, err := metrics.NewLogger(out, cfg.NodeID, sampled)
	if err != nil {
		fmt.Fprintln(os.Stderr, "galenad:", err)
		return exitSettings
	}
	// What the process itself says is not left out where the lines of requests are.
	bounded := logger
	logger = logger.Sample(nil)
	debug.SetGCPercent(gcPercent)
	applyToProcess(cfg, logger)
	m, err := mesh.Start(cfg, platform.NewAdapter(cfg, bounded), bounded)
	if err != nil {
		logger.Error().Err(err).Msg("not started")
		return exitFailure
	}
	logger.Info().Str("version", buildVersion()).Str("zone", cfg.Zone).Str("service", cfg.Service).
		Str("callers", cfg.Listen.Callers).Str("inner", cfg.Listen.Inner).Str("store", cfg.Store.Address).
		Int("memory_mb", cfg.Resources.MemoryMB).Msg("started")
	file := &settingsFile{path: args.Config, mesh: m, logger: logger}
	file.remember()
	file.watch(signals)
	return stopMesh(m, logger)
}

func stopMesh(m *mesh.Mesh, logger zerolog.Logger) int {
	logger.Info().Int("in_flight", m.InFlight()).Msg("stopping")
	if cut := m.Stop(); cut > 0 {
		logger.Error().Int("cut", cut).Msg("stopped with calls in flight")
		return exitCut
	}
	logger.Info().Msg("stopped")
	return 0
}
