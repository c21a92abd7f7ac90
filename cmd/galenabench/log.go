package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/standin/logd"
)

// stopGrace bounds how long a stand-in, when it stops, waits for responses in progress.
const stopGrace = 2 * time.Second

type logCmd struct {
	Address   string        `default:"127.0.0.1:7000" help:"Address to listen on."`
	Appends   float64       `default:"400" help:"Maximum number of appends per second; 0 means no limit."`
	Delay     time.Duration `default:"2ms" help:"Time added to each request."`
	Retention time.Duration `default:"0" help:"Age at which records expire; 0 means never."`
}

// Run serves the log stand-in until a signal. Its behavior, including outages, can be set at
// /admin/knobs.
func (c *logCmd) Run() error {
	log := logd.New(logd.Options{Seed: 1})
	log.SetKnobs(logd.Knobs{
		AppendsPerSecond: c.Appends,
		DelayMillis:      c.Delay.Milliseconds(),
		RetentionMillis:  c.Retention.Milliseconds(),
	})
	l, err := net.Listen("tcp", c.Address)
	if err != nil {
		return errors.Wrap(err, "listen on --address")
	}
	srv := &http.Server{Handler: log.Handler(), ReadHeaderTimeout: stopGrace}
	ctx, cancel := onSignal()
	defer cancel()
	context.AfterFunc(ctx, func() {
		shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), stopGrace)
		defer cancelShutdown()
		if srv.Shutdown(shutdownCtx) != nil {
			_ = srv.Close()
		}
	})
	printListener("log", l.Addr().String())
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve the log stand-in")
	}
	return nil
}

// onSignal returns a context that ends at SIGINT or SIGTERM.
func onSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// printListener prints the name and the address of a stand-in as one JSON line, for scripts.
func printListener(name, addr string) {
	_ = json.NewEncoder(os.Stdout).Encode(map[string]string{"what": name, "listening": addr})
}
