package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/history"
)

type checkCmd struct {
	File string `arg:"" help:"History written by run --history."`
}

// Run prints every violation in the history and the number of violations of each property.
func (c *checkCmd) Run() error {
	f, err := os.Open(c.File)
	if err != nil {
		return errors.Wrap(err, "open the history")
	}
	defer func() { _ = f.Close() }()
	h, err := history.Read(f)
	if err != nil {
		return errors.Wrap(err, c.File)
	}
	fmt.Printf("%d attempts, %d executions, %d roots with retries, %d configuration versions seen\n",
		len(h.Sends), len(h.Runs), len(h.Retries), len(h.Versions))
	violations := history.Check(h)
	for _, v := range violations {
		fmt.Println(v.Error())
	}
	for _, property := range history.Properties() {
		fmt.Printf("%-16s %d violations\n", property, history.Count(violations, property))
	}
	if len(violations) > 0 {
		return errors.Errorf("history contains %d violations", len(violations))
	}
	return nil
}

// writeHistory writes h to a new file called name. It does nothing when name is empty.
func writeHistory(name string, h *history.History) error {
	if name == "" {
		return nil
	}
	f, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create the --history file")
	}
	if err := history.Write(f, h); err != nil {
		_ = f.Close()
		return err
	}
	return errors.Wrap(f.Close(), "close the --history file")
}
