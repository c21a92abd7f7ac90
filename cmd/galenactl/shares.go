package main

import (
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/mesh"
)

type nodeSharesCmd struct {
	Workspace string `help:"Only this workspace."`
}

// Run implements the command.
func (c *nodeSharesCmd) Run(a *app) error {
	s, err := a.nodeState(a.address)
	if err != nil {
		return err
	}
	if s.Shares == nil {
		return errors.Errorf("shares are off at %s: settings shares.enabled is false, or there are no routes yet", s.Node)
	}
	selected := []mesh.WorkspaceShare{}
	t := newTable("WORKSPACE", "WEIGHT", "LEAST", "MOST", "DEMAND", "SHARE", "ASKED", "ADMITTED", "CUT", "WHY")
	for _, w := range s.Shares.Workspaces {
		if c.Workspace != "" && w.Workspace != c.Workspace {
			continue
		}
		selected = append(selected, w)
		t.row(w.Workspace, rounded(w.Weight), rounded(w.Least), rounded(w.Most), rounded(w.Demand), rounded(w.Share),
			rounded(w.Asked), rounded(w.Admitted), rounded(w.Cut), w.Reason)
	}
	t.note("requests/s; demand and share are over all nodes, asked, admitted and cut at %s alone; %s", s.Node, sharesNote(s.Shares))
	return a.print(selected, t)
}

// sharesNote says by what requests are divided.
func sharesNote(s *mesh.SharesState) string {
	note := "no service sheds"
	if s.Shedding != "" {
		note = s.Shedding + " sheds the most"
	}
	if !s.Dividing {
		return note + "; requests are not divided, since the view is missing or too old"
	}
	return note + "; view received " + (time.Duration(s.ViewAgeMillis) * time.Millisecond).String() + " ago"
}
