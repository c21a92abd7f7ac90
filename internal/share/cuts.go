package share

import (
	"cmp"
	"slices"
)

const (
	// beginCut and endCut are the parts of the requests of a workspace that are cut, beyond the part
	// that is cut of all others, from which on it begins and ends to count as cut beyond others.
	beginCut, endCut = 0.2, 0.1
	// minCutRate is the rate of cut requests at this node, per second, below which they may be chance.
	minCutRate = 1
)

// CutChange says that a workspace begins or ends to be cut beyond others at this node.
type CutChange struct {
	Workspace string
	Begins    bool
	// Asked and Cut are the rates at this node, in requests per second.
	Asked, Cut float64
	// OthersCut is the part of the requests of all other workspaces that is cut here.
	OthersCut float64
}

// CutChanges returns the changes since the last call, sorted by workspace.
func (m *Meter) CutChanges() []CutChange {
	asked, cut := 0.0, 0.0
	for _, c := range m.cells {
		asked += c.askedRate
		cut += c.cutRate
	}
	var changes []CutChange
	for name, c := range m.cells {
		others := partOf(cut-c.cutRate, asked-c.askedRate)
		beyond := partOf(c.cutRate, c.askedRate) - others
		begins := !c.isCut && c.cutRate >= minCutRate && beyond > beginCut
		ends := c.isCut && (beyond < endCut || c.cutRate < minCutRate/2.0)
		if begins || ends {
			c.isCut = begins
			changes = append(changes, CutChange{Workspace: name, Begins: begins, Asked: c.askedRate, Cut: c.cutRate, OthersCut: others})
		}
	}
	slices.SortFunc(changes, func(a, b CutChange) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return changes
}

func partOf(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return min(max(part/whole, 0), 1)
}
