// Command galenad is the node that runs on each upstream VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/server"
	"github.com/galenagrade/galenagrade/internal/settings"
)

// Exit codes; docs/operations/stopping.md lists them.
const (
	exitFailure  = 1
	exitSettings = 2
	exitCut      = 3
)

// version may be set when linking; otherwise it is that of the module.
var version string

type cli struct {
	Run  runCommand  `cmd:"" default:"withargs" help:"Run a node that callers address by workspace and service."`
	Mesh meshCommand `cmd:"" help:"Run a node whose requests come by routes."`

	Version kong.VersionFlag `help:"Print the version and exit."`
}

type runCommand struct {
	Config string `required:"" type:"existingfile" help:"Settings of the node, one JSON file."`
	Check  bool   `help:"Check the settings and exit."`
}

func main() {
	var args cli
	parsed := kong.Parse(&args, kong.Name("galenad"), kong.Description("Overload control node of one upstream VM."),
		kong.Vars{"version": buildVersion()})
	if parsed.Command() == "mesh" {
		os.Exit(runMesh(args.Mesh))
	}
	os.Exit(run(args.Run))
}

func buildVersion() string {
	if version != "" {
		return version
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision := ""
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = " " + s.Value
		}
	}
	return info.Main.Version + revision + " " + info.GoVersion
}

// load reads settings; nil with the exit code where the process ends with that:
// they are wrong, or were only to be checked.
func load[T any](path string, check bool, read func(string) (*T, error)) (cfg *T, exit int) {
	cfg, err := read(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "galenad:", err)
		return nil, exitSettings
	}
	if check {
		fmt.Println("settings are valid")
		return nil, 0
	}
	return cfg, 0
}

func run(args runCommand) int {
	cfg, exit := load(args.Config, args.Check, settings.Load)
	if cfg == nil {
		return exit
	}
	logger, err := metrics.NewLogger(os.Stderr, cfg.NodeID, cfg.Logging)
	if err != nil {
		fmt.Fprintln(os.Stderr, "galenad:", err)
		return exitSettings
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	s, err := server.Start(cfg, server.Options{Logger: logger})
	if err != nil {
		logger.Error().Err(err).Msg("not started")
		return exitFailure
	}
	logStart(logger, cfg, s)
	select {
	case <-signals:
		return stop(s, cfg, logger, signals)
	case <-s.Evicted():
		// The others took this node for dead and wrote so. Its supervisor
		// starts it again, as a new incarnation that may join.
		logger.Error().Msg("this incarnation was evicted by its peers")
		stop(s, cfg, logger, signals)
		return exitFailure
	}
}

// logStart says what the node runs with. Tokens are named, never shown: the
// file holds only their hashes, and those stay in it.
func logStart(logger zerolog.Logger, cfg *settings.Node, s *server.Server) {
	names := make([]string, 0, len(cfg.Tokens))
	for _, t := range cfg.Tokens {
		names = append(names, t.Name+"/"+string(t.Role))
	}
	callers, upstream, inner, admin := s.Addresses()
	logger.Info().
		Str("version", buildVersion()).
		Str("region", cfg.Region).Str("zone", cfg.Zone).
		Str("callers", callers).Str("upstream", upstream).Str("inner", inner).Str("admin", admin).
		Bool("callers_tls", cfg.Callers.TLS != nil).Bool("inner_tls", cfg.Inner.TLS != nil).Bool("admin_tls", cfg.Admin.TLS != nil).
		Bool("require_token", cfg.Callers.RequireToken).Strs("tokens", names).
		Str("log", cfg.Log.URL).Int("seed_peers", len(cfg.SeedPeers)).
		Msg("started")
}

// stop ends the node gracefully; a second signal ends it at once and says what
// that cuts.
func stop(s *server.Server, cfg *settings.Node, logger zerolog.Logger, signals <-chan os.Signal) int {
	ctx, cancel := context.WithTimeout(context.Background(), cfg.Timing.StopTimeout.Std())
	defer cancel()
	go func() {
		<-signals
		logger.Error().Int("cut", s.InFlight()).Msg("second signal: stopping at once, cutting the calls in flight")
		cancel()
	}()
	logger.Info().Int("in_flight", s.InFlight()).Str("bound", cfg.Timing.StopTimeout.String()).Msg("stopping")
	if cut := s.Shutdown(ctx); cut > 0 {
		logger.Error().Int("cut", cut).Msg("stopped with calls in flight")
		return exitCut
	}
	logger.Info().Msg("stopped")
	return 0
}
