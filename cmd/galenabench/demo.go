package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/bench"
)

type demoCmd struct {
	Deployment string `default:"chikugo" enum:"chikugo,yardstick" help:"Deployment to run."`
	Seed       uint64 `default:"1" help:"Seed of arrivals and faults."`
}

// demoScenario is the name of the scenario that the demo runs.
const demoScenario = "surge"

// Run runs the scenario once under each policy and prints a comparison.
func (c *demoCmd) Run() error {
	scenarios, err := chooseScenarios(demoScenario)
	if err != nil {
		return err
	}
	s := scenarios[0]
	d := chooseDeployments(c.Deployment)[0]
	describe(d, s)
	var violations violationError
	var results []bench.Result
	for _, policy := range []string{bench.PolicyBaseline, bench.PolicyGalenagrade} {
		fmt.Printf("\n%s\n", policyDescriptions[policy])
		p := &progress{out: os.Stdout, title: fmt.Sprintf("  %-11s", policy)}
		r, _, err := bench.RunWith(s, d, bench.Options{Policy: policy, Seed: c.Seed, Probe: probeDuration, OnSample: p.add})
		if err != nil {
			return errors.Wrap(err, policy)
		}
		violations.add(&r)
		results = append(results, r)
	}
	fmt.Println()
	printDemo(results)
	return violations.err()
}

// policyDescriptions explain each policy in the demo's output.
var policyDescriptions = map[string]string{
	bench.PolicyBaseline: "baseline: services call each other directly, to the upstream with fewest calls in flight;\n" +
		"every hop waits 1 s and tries 3 times more",
	bench.PolicyGalenagrade: "galenagrade: the same calls through one node on each upstream VM\n" +
		"(before that, what one hop adds to a call is measured for 2 s)",
}

// describe prints the deployment, the load, and each difference to a run on separate VMs.
func describe(d *bench.Deployment, s bench.Scenario) {
	fmt.Printf("%s: zones %v; one-way delay %s between zones, %s to callers\n", d.Name, d.Zones, d.ZoneDelay, d.ClientDelay)
	for _, svc := range d.Services {
		fmt.Printf("  %-10s %d upstreams, %d slots and %d connections each\n", svc.Name, svc.Upstreams, svc.Slots, svc.Connections)
	}
	fullCapacity := d.FullCapacity()
	fmt.Printf("load: %.0f requests a second, %.0f%% of what the slots can serve; %s: %s\n",
		fullCapacity*d.SteadyLoad, 100*d.SteadyLoad, s.Name, s.Description)
	fmt.Printf("a response is useful to its caller for %s; a caller sends a request up to %d times\n", bench.CallerTimeout, bench.MaxAttempts)
	fmt.Println("scaling: upstreams, slots, connections and delays are full size; instead of VMs all of it")
	fmt.Println("  runs in this one process over loopback, and upstreams sleep for their service time;")
	fmt.Printf("  a caller site opens at most %d connections to a node;\n", bench.ConnsPerHost)
	fmt.Printf("  time: %s steady, %s surge, %s recovery\n", s.Before, s.Pressure, s.After)
}

// printDemo prints the figures by which an operator compares the policies.
func printDemo(results []bench.Result) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 3, ' ', 0)
	fmt.Fprintln(w, "policy\tgoodput\tworth-weighted goodput\trecovery\tduplicates\tadded p99")
	for _, r := range results {
		added := "-"
		if r.Policy != bench.PolicyBaseline {
			added = fmt.Sprintf("%.2f ms", float64(r.AddedP99)/1000)
		}
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%s\t%d\t%s\n",
			r.Policy, r.Goodput, r.WeightedGoodput, r.Recovery(), r.Duplicates, added)
	}
	_ = w.Flush()
	fmt.Println("goodput: useful responses during the surge, divided by what the upstreams could have served")
}

// printTable prints all figures of results.
func printTable(results []bench.Result) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "deployment\tscenario\tpolicy\toffered/s\tcapacity/s\tgoodput\tweighted\tcritical\trecovery\tp50 ms\tp99 ms\tduplicates\tfalse refusals\twrong\tretries (max/allowed)")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.0f\t%.0f\t%.3f\t%.3f\t%.3f\t%s\t%.1f\t%.1f\t%d\t%d\t%d\t%d/%d\n",
			r.Deployment, r.Scenario, r.Policy, r.Offered, r.Capacity, r.Goodput, r.WeightedGoodput, r.CriticalServed,
			r.Recovery(), r.P50Millis, r.P99Millis, r.Duplicates, r.FalseRefusals, r.WrongAnswers, r.MaxRetries, r.RetryAllowance)
	}
	_ = w.Flush()
}
