// Command galenabench runs small deployments of real nodes on this machine
// under load and faults, and measures what callers got.
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
	Run       runCmd       `cmd:"" help:"Run a scenario and print its figures."`
	Check     checkCmd     `cmd:"" help:"Check a recorded history; the exit code is 1 if a promise is broken."`
	Latency   latencyCmd   `cmd:"" help:"Measure what one hop through the nodes adds to a direct call."`
	Scenarios scenariosCmd `cmd:"" help:"List the scenarios with their stories."`
	Log       logCmd       `cmd:"" help:"Run a log stand-in as a process of its own."`
	Upstream  upstreamCmd  `cmd:"" help:"Run an upstream stand-in behind a node."`
	Load      loadCmd      `cmd:"" help:"Send requests to nodes and print what callers got."`
	Control   controlCmd   `cmd:"" help:"Measure what the control plane costs a node, without calls."`
}

func main() {
	var args cli
	ctx := kong.Parse(&args, kong.Name("galenabench"), kong.Description("Load and experiments for galenagrade on one machine."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "galenabench:", err)
		os.Exit(1)
	}
}

type runCmd struct {
	Scenario   string `required:"" help:"Name of a scenario, or all."`
	Deployment string `default:"all" enum:"chikugo,yardstick,all" help:"Deployment to run."`
	Policy     string `default:"galenagrade" enum:"galenagrade,baseline" help:"What carries the calls."`
	Seed       uint64 `default:"1" help:"Seed of arrivals and faults."`
	JSON       bool   `help:"One JSON line a run."`
	History    string `help:"File to write the run's history to, for check. One scenario on one deployment."`
}

// Run runs the chosen scenarios.
func (c *runCmd) Run() error {
	if c.History != "" && (c.Scenario == "all" || c.Deployment == "all") {
		return errors.New("--history takes one run: name a --scenario and a --deployment")
	}
	found := false
	for _, s := range bench.Scenarios() {
		if c.Scenario != "all" && c.Scenario != s.Name {
			continue
		}
		found = true
		if err := c.runOne(s); err != nil {
			return err
		}
	}
	if !found {
		return errors.Errorf("--scenario %q is not known; galenabench scenarios lists them", c.Scenario)
	}
	return nil
}

func (c *runCmd) runOne(s bench.Scenario) error {
	for _, d := range bench.Deployments() {
		if c.Deployment != "all" && c.Deployment != d.Name {
			continue
		}
		r, h, err := bench.Record(s, d, c.Policy, c.Seed)
		if err != nil {
			return errors.Wrapf(err, "%s on %s", s.Name, d.Name)
		}
		if err := writeHistory(c.History, h); err != nil {
			return err
		}
		if err := c.print(r); err != nil {
			return err
		}
	}
	return nil
}

func (c *runCmd) print(r bench.Result) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	printTable([]bench.Result{r})
	return nil
}

type scenariosCmd struct{}

// Run lists the scenarios.
func (scenariosCmd) Run() error {
	for _, s := range bench.Scenarios() {
		fmt.Printf("%-20s %s\n", s.Name, s.Story)
	}
	return nil
}

type latencyCmd struct {
	Rate float64       `default:"2000" help:"Calls a second, half of them direct."`
	For  time.Duration `default:"5s" help:"How long to measure."`
	Seed uint64        `default:"1" help:"Seed of the stand-ins."`
}

// Run prints one JSON line.
func (c *latencyCmd) Run() error {
	added, err := bench.MeasureAdded(c.Rate, c.For, c.Seed)
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(added)
}
