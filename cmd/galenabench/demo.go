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

// Run runs the surge with and without galenagrade.
func (c *demoCmd) Run() error {
	var results []bench.Result
	for _, d := range bench.Deployments() {
		if d.Name != c.Deployment {
			continue
		}
		describe(d)
		for _, p := range []string{bench.PolicyBaseline, bench.PolicyGalenagrade} {
			fmt.Printf("running %s: steady, then surge, then recovery ...\n", p)
			r, err := bench.Run(demoScenario(), d, p, c.Seed)
			if err != nil {
				return errors.Wrap(err, p)
			}
			results = append(results, r)
		}
	}
	printTable(results)
	return nil
}

func demoScenario() bench.Scenario {
	for _, s := range bench.Scenarios() {
		if s.Name == "surge" {
			return s
		}
	}
	return bench.Scenario{}
}

func describe(d *bench.Deployment) {
	fmt.Printf("%s: zones %v, %s apart, callers %s away; about %.0f requests a second at full capacity\n",
		d.Name, d.Zones, d.ZoneDelay, d.ClientDelay, d.FullCapacity())
	for _, s := range d.Services {
		fmt.Printf("  %-10s %d upstreams, %d slots and %d connections each\n", s.Name, s.Upstreams, s.Slots, s.Connections)
	}
}

func printTable(results []bench.Result) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "deployment\tscenario\tpolicy\toffered/s\tcapacity/s\tgoodput\tweighted\tcritical\trecovery s\tp50 ms\tp99 ms\tduplicates\tfalse refusals\twrong\tretries (max/allowed)")
	for _, r := range results {
		recovery := fmt.Sprintf("%.2f", r.RecoverySeconds)
		if !r.Recovered {
			recovery = "never"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.0f\t%.0f\t%.3f\t%.3f\t%.3f\t%s\t%.1f\t%.1f\t%d\t%d\t%d\t%d/%d\n",
			r.Deployment, r.Scenario, r.Policy, r.Offered, r.Capacity, r.Goodput, r.WeightedGoodput, r.CriticalServed,
			recovery, r.P50Millis, r.P99Millis, r.Duplicates, r.FalseRefusals, r.WrongAnswers, r.MaxRetries, r.RetryAllowance)
	}
	_ = w.Flush()
}
