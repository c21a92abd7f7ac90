package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/galenagrade/galenagrade/internal/bench"
)

type controlCmd struct {
	Members     int           `default:"50" help:"Number of nodes in this process."`
	Zones       int           `default:"1" help:"Number of availability zones."`
	Duration    time.Duration `name:"for" default:"20s" help:"How long to measure in steady state."`
	ChangeEvery time.Duration `default:"6650ms" help:"Time between two configuration changes in steady state: 13,000 a day; 0 for none."`
	Changes     int           `default:"5" help:"Number of changes to time while the log is available, and again while it is not."`
	JSON        bool          `help:"One JSON line."`
}

// Run prints the network, processor and memory cost of the control plane per node.
func (c *controlCmd) Run() error {
	r, err := bench.MeasureControl(bench.ControlOptions{
		Members: c.Members, Zones: c.Zones, Duration: c.Duration, ChangeEvery: c.ChangeEvery, Changes: c.Changes,
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	fmt.Printf("%d nodes in %d zones: a node sends %.0f B/s in %.2f messages/s, %.2f %% of a core, %.1f MB\n",
		r.Members, r.Zones, r.SentBytes, r.Messages, r.CPU, r.Resident/(1<<20))
	fmt.Printf("log: %.1f reads/s, %.2f appends/s\n", r.LogReads, r.LogAppends)
	fmt.Printf("change in force at the last node, ms: log up %v, log out %v\n", r.ApplyMillisLogUp, r.ApplyMillisLogOut)
	return nil
}
