// Command galenad is the node that runs on each upstream VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/galenagrade/galenagrade/internal/server"
	"github.com/galenagrade/galenagrade/internal/settings"
)

type cli struct {
	Config string `required:"" type:"existingfile" help:"Settings of the node, one JSON file."`
	Check  bool   `help:"Check the settings and exit."`
}

func main() {
	var args cli
	kong.Parse(&args, kong.Name("galenad"), kong.Description("Overload control node of one upstream VM."))
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, "galenad:", err)
		os.Exit(1)
	}
}

func run(args cli) error {
	cfg, err := settings.Load(args.Config)
	if err != nil {
		return err
	}
	if args.Check {
		fmt.Println("settings are valid")
		return nil
	}
	logger := zerolog.New(os.Stderr).With().Timestamp().Str("node", cfg.NodeID).Logger()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	s, err := server.Start(cfg, server.Options{Logger: logger})
	if err != nil {
		return err
	}
	callers, upstream, inner, admin := s.Addresses()
	logger.Info().Str("callers", callers).Str("upstream", upstream).Str("inner", inner).Str("admin", admin).Msg("started")
	select {
	case <-signals:
		stop(s, cfg, logger, signals)
		return nil
	case <-s.Evicted():
		// The others took this node for dead and wrote so. Its supervisor
		// starts it again, as a new incarnation that may join.
		stop(s, cfg, logger, signals)
		return errors.New("this incarnation was evicted by its peers")
	}
}

// stop ends the node gracefully; a second signal ends it at once and says what
// that cuts.
func stop(s *server.Server, cfg *settings.Node, logger zerolog.Logger, signals <-chan os.Signal) {
	ctx, cancel := context.WithTimeout(context.Background(), cfg.Timing.StopTimeout.Std())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	logger.Info().Int("in_flight", s.Node().Guard().Busy()).Msg("stopping")
	cut := s.Shutdown(ctx)
	if cut > 0 {
		logger.Error().Int("cut", cut).Msg("stopped with calls in flight")
		return
	}
	logger.Info().Msg("stopped")
}
