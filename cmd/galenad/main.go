// Command galenad runs the overload control node of one upstream VM.
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
	exitCallsCut = 3
)

// version is set by the linker; when it is empty, the version of the module is used.
var version string

type cli struct {
	Run  runCommand  `cmd:"" default:"withargs" help:"Run a node whose callers name the workspace and service of each request."`
	Mesh meshCommand `cmd:"" help:"Run a node that matches requests to services by its routes."`

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

// buildVersion returns the linked version, or else the module's version, source revision and Go version.
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

// load reads and validates the settings file at path. It returns nil and the exit code when the
// process must end: the settings are invalid, or check is set and they are valid.
func load[T any](path string, check bool, read func(string) (*T, error)) (cfg *T, exitCode int) {
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
	cfg, exitCode := load(args.Config, args.Check, settings.Load)
	if cfg == nil {
		return exitCode
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
		logger.Error().Err(err).Msg("node did not start; the process ends")
		return exitFailure
	}
	logStart(logger, cfg, s)
	select {
	case <-signals:
		return stop(s, cfg, logger, signals)
	case <-s.Evicted():
		// The other nodes declared this incarnation dead and recorded that in the log. The process
		// ends so that its supervisor restarts it: a new incarnation may join.
		logger.Error().Msg("this incarnation was evicted by its peers; the node stops")
		stop(s, cfg, logger, signals)
		return exitFailure
	}
}

// logStart logs the addresses and the main settings of the node. Tokens appear as name and role only:
// the settings file contains only their hashes, which are not logged.
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

// stop shuts the node down gracefully, within the stop timeout, and returns the exit code. A second
// signal ends the shutdown at once; the number of calls that this cuts is logged.
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
		return exitCallsCut
	}
	logger.Info().Msg("stopped")
	return 0
}
