package overview

import (
	"slices"
	"strings"
	"time"
)

// minKept is the share of the nodes of a zone's last sum that must be in the next one to replace it at
// once.
const minKept = 0.5

// KeepFrom keeps the zones of the previous view that this one lacks, or has with far fewer nodes, up to the
// age at which a collector would drop them. v is received at now.
//
// Load pattern: the collector of the zone dies, or one node fails to reach it. The next one knows no sums,
// or the reports of a few nodes, and all that follows from the sums would be withdrawn and decided again.
func (v *View) KeepFrom(previous *View, now time.Time) {
	if previous == nil {
		return
	}
	lifetime := zoneLifetime * ZoneInterval(len(previous.Zones))
	kept := false
	for i := range previous.Zones {
		z := previous.Zones[i]
		age := previous.Age(now, &z)
		at := slices.IndexFunc(v.Zones, func(x Zone) bool { return x.Name == z.Name })
		if age > lifetime || at >= 0 && float64(v.Zones[at].Nodes) >= minKept*float64(z.Nodes) {
			continue
		}
		z.AgeMillis = age.Milliseconds()
		kept = true
		if at >= 0 {
			v.Zones[at] = z
			continue
		}
		v.Zones = append(v.Zones, z)
	}
	if !kept {
		return
	}
	slices.SortFunc(v.Zones, func(a, b Zone) int { return strings.Compare(a.Name, b.Name) })
	// The demand over all zones lacks the same zones.
	v.Workspaces, v.Total = previous.Workspaces, previous.Total
}
