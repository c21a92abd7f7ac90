package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/bench"
	"github.com/galenagrade/galenagrade/internal/bench/report"
)

type reportCmd struct {
	Out        string `required:"" type:"path" help:"HTML file to write."`
	Deployment string `default:"chikugo" enum:"chikugo,yardstick" help:"Deployment to run."`
	Scenario   string `default:"surge" help:"Name of a scenario."`
	Seed       uint64 `default:"1" help:"Seed of arrivals and faults."`
}

// Run runs a scenario under both policies and writes the report. Progress goes to stderr.
func (c *reportCmd) Run() error {
	scenarios, err := chooseScenarios(c.Scenario)
	if err != nil {
		return err
	}
	if len(scenarios) != 1 {
		return errors.New("--scenario must name one scenario: a report compares two runs of the same scenario")
	}
	// The file is created before the runs, so that an unwritable path is reported before two runs.
	f, err := os.Create(c.Out)
	if err != nil {
		return errors.Wrap(err, "create the --out file")
	}
	defer func() { _ = f.Close() }()
	d := chooseDeployments(c.Deployment)[0]
	var violations violationError
	var runs []report.Run
	for _, policy := range choosePolicies("both") {
		run, err := recordRun(scenarios[0], d, policy, c.Seed)
		if err != nil {
			return errors.Wrap(err, policy)
		}
		violations.add(&run.Result)
		runs = append(runs, run)
	}
	if err := report.Write(f, scenarios[0], d, runs); err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return errors.Wrap(err, "close the --out file")
	}
	return violations.err()
}

// recordRun runs a scenario and keeps all its samples.
func recordRun(s bench.Scenario, d *bench.Deployment, policy string, seed uint64) (report.Run, error) {
	p := &progress{out: os.Stderr, title: fmt.Sprintf("%s %s %s", s.Name, d.Name, policy)}
	var run report.Run
	var err error
	run.Result, _, err = bench.RunWith(s, d, bench.Options{Policy: policy, Seed: seed, OnSample: func(sample bench.Sample) {
		run.Samples = append(run.Samples, sample)
		p.add(sample)
	}})
	return run, err
}
