package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/bench"
)

// probeDuration is how long the latency added by one hop is measured before the load of a run starts.
const probeDuration = 2 * time.Second

// violationError lists the runs that violated an invariant, with the violations.
type violationError struct{ runs []string }

// Error implements error.
func (e *violationError) Error() string {
	return "invariants violated: " + strings.Join(e.runs, "; ")
}

// add adds the violations of a run.
func (e *violationError) add(r *bench.Result) {
	for _, v := range r.Violations() {
		e.runs = append(e.runs, fmt.Sprintf("%s on %s, %s, seed %d: %s", r.Scenario, r.Deployment, r.Policy, r.Seed, v))
	}
}

// err returns e, or nil when no run violated an invariant.
func (e *violationError) err() error {
	if len(e.runs) == 0 {
		return nil
	}
	return e
}

type runCmd struct {
	Scenario   string `required:"" help:"Name of a scenario, or all."`
	Deployment string `default:"all" enum:"chikugo,yardstick,all" help:"Deployment to run."`
	Policy     string `default:"galenagrade" enum:"galenagrade,claims,baseline,both" help:"What carries the calls; claims is galenagrade with a claim in the log for each non-idempotent call; both is baseline, then galenagrade."`
	Seed       uint64 `default:"1" help:"Seed of arrivals and faults."`
	JSON       bool   `help:"One JSON line a run."`
	History    string `help:"File to write the run's history to, for check. One scenario on one deployment under one policy."`
}

// Run runs the selected scenarios on the selected deployments under the selected policies. Progress
// goes to stderr. Violations are reported after the last run.
func (c *runCmd) Run() error {
	if c.History != "" && (c.Scenario == "all" || c.Deployment == "all" || c.Policy == "both") {
		return errors.New("--history takes one run: name a --scenario, a --deployment and a --policy")
	}
	scenarios, err := chooseScenarios(c.Scenario)
	if err != nil {
		return err
	}
	var violations violationError
	for _, s := range scenarios {
		for _, d := range chooseDeployments(c.Deployment) {
			for _, policy := range choosePolicies(c.Policy) {
				r, err := c.runOne(s, d, policy)
				if err != nil {
					return errors.Wrapf(err, "scenario %s on deployment %s", s.Name, d.Name)
				}
				violations.add(&r)
			}
		}
	}
	return violations.err()
}

// runOne runs one scenario, writes its history if requested, and prints the result.
func (c *runCmd) runOne(s bench.Scenario, d *bench.Deployment, policy string) (bench.Result, error) {
	p := &progress{out: os.Stderr, title: fmt.Sprintf("%s %s %s", s.Name, d.Name, policy)}
	r, h, err := bench.RunWith(s, d, bench.Options{Policy: policy, Seed: c.Seed, Probe: probeDuration, OnSample: p.add})
	if err != nil {
		return r, err
	}
	if err := writeHistory(c.History, h); err != nil {
		return r, err
	}
	if c.JSON {
		return r, json.NewEncoder(os.Stdout).Encode(r)
	}
	printTable([]bench.Result{r})
	return r, nil
}

// chooseScenarios returns the scenarios that --scenario selects. It fails when the machine's limit of
// file descriptors is too low for them.
func chooseScenarios(name string) ([]bench.Scenario, error) {
	if err := bench.CheckDescriptors(); err != nil {
		return nil, err
	}
	all := bench.Scenarios()
	if name == "all" {
		return all, nil
	}
	for _, s := range all {
		if s.Name == name {
			return []bench.Scenario{s}, nil
		}
	}
	return nil, errors.Errorf("--scenario %q is not known; galenabench scenarios lists them", name)
}

// chooseDeployments returns the deployments that --deployment selects.
func chooseDeployments(name string) []*bench.Deployment {
	var list []*bench.Deployment
	for _, d := range bench.Deployments() {
		if name == "all" || name == d.Name {
			list = append(list, d)
		}
	}
	return list
}

// choosePolicies returns the policies that --policy selects.
func choosePolicies(name string) []string {
	if name == "both" {
		return []string{bench.PolicyBaseline, bench.PolicyGalenagrade}
	}
	return []string{name}
}
