package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/ceiling"
)

type ceilingCmd struct {
	File string `arg:"" help:"Windows as JSON: demand, slots and faults of the scarcest service; examples/ceiling has one."`
}

// Run prints the upper bound for each window.
func (c *ceilingCmd) Run() error {
	f, err := os.Open(c.File)
	if err != nil {
		return errors.Wrap(err, "open the file of windows")
	}
	defer func() { _ = f.Close() }()
	windows, err := ceiling.Read(f)
	if err != nil {
		return errors.Wrap(err, c.File)
	}
	for i := range windows {
		fmt.Println(windows[i].Bound())
	}
	return nil
}
