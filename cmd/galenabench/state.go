package main

import (
	"encoding/json"
	"os"

	"github.com/galenagrade/galenagrade/internal/bench"
)

type stateCmd struct {
	Members  int `default:"14000" help:"Nodes of the system."`
	Services int `default:"1700" help:"Services of the system, with an instance each."`
	Zones    int `default:"34" help:"Availability zones."`
}

// Run prints the sizes as one JSON line.
func (c *stateCmd) Run() error {
	r, err := bench.MeasureState(bench.StateOptions{Members: c.Members, Services: c.Services, Zones: c.Zones})
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(r)
}
