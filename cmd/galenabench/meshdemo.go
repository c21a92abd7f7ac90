package main

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/platform/demo"
)

type meshDemoCmd struct {
	SVG string `name:"svg" help:"Draw the events of all nodes to this file."`
}

// Run runs a mesh over loopback in which an upstream crashes and recovers.
func (c *meshDemoCmd) Run() (err error) {
	var picture io.Writer
	if c.SVG != "" {
		f, createErr := os.Create(c.SVG)
		if createErr != nil {
			return errors.Wrap(createErr, "create the --svg file")
		}
		defer func() {
			if closeErr := f.Close(); err == nil {
				err = errors.Wrap(closeErr, "close the --svg file")
			}
		}()
		picture = f
	}
	return demo.Run(os.Stdout, picture, demo.DefaultPhases())
}
