// Command galenabench runs small deployments of real nodes on one machine under load and faults, and
// measures the results that callers see.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/bench"
)

type cli struct {
	Demo      demoCmd      `cmd:"" help:"Surge and recovery of a small deployment, with and without galenagrade."`
	MeshDemo  meshDemoCmd  `cmd:"" help:"A mesh on the operators' platform over loopback: an upstream crashes and comes back."`
	Run       runCmd       `cmd:"" help:"Run a scenario and print its figures."`
	Check     checkCmd     `cmd:"" help:"Check a recorded history; the exit code is 1 if it contains violations."`
	Report    reportCmd    `cmd:"" help:"Run a scenario under both policies and plot both runs into an HTML file."`
	Latency   latencyCmd   `cmd:"" help:"Measure what one hop through the nodes adds to a direct call."`
	Scenarios scenariosCmd `cmd:"" help:"List the scenarios with their descriptions."`
	Log       logCmd       `cmd:"" help:"Run a log stand-in as a process of its own."`
	Upstream  upstreamCmd  `cmd:"" help:"Run an upstream stand-in behind a node."`
	Load      loadCmd      `cmd:"" help:"Send requests to nodes and print the results that callers see."`
	Control   controlCmd   `cmd:"" help:"Measure what the control plane costs a node, without calls."`
	State     stateCmd     `cmd:"" help:"Measure the size of the state that one node holds for a system of a given size."`
	Ceiling   ceilingCmd   `cmd:"" help:"Compute an upper bound of the worth that the scarcest service can serve."`
}

func main() {
	var args cli
	ctx := kong.Parse(&args, kong.Name("galenabench"), kong.Description("Load and experiments for galenagrade on one machine."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "galenabench:", err)
		os.Exit(exitCode(err))
	}
}

// exitViolation is the exit code of a run that violated an invariant. Any other failure has exit code
// 1; 2 is left to shells.
const exitViolation = 3

func exitCode(err error) int {
	var violations *violationError
	if errors.As(err, &violations) {
		return exitViolation
	}
	return 1
}

type scenariosCmd struct{}

// Run lists the scenarios.
func (scenariosCmd) Run() error {
	for _, s := range bench.Scenarios() {
		fmt.Printf("%-20s %s\n", s.Name, s.Description)
	}
	return nil
}

type latencyCmd struct {
	Rate     float64       `default:"2000" help:"Calls a second, half of them direct."`
	Duration time.Duration `name:"for" default:"5s" help:"How long to measure."`
	Seed     uint64        `default:"1" help:"Seed of the stand-ins."`
}

// Run prints one JSON line.
func (c *latencyCmd) Run() error {
	added, err := bench.MeasureAddedLatency(c.Rate, c.Duration, c.Seed)
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(added)
}
