package overview

import "hash/fnv"

// SetKnown notes the zones of the node's last view, so that the answer doesn't repeat their names. v may be
// nil.
func (r *Report) SetKnown(v *View) {
	r.zones, r.ZonesHash = nil, 0
	if v == nil || len(v.Zones) == 0 {
		return
	}
	for i := range v.Zones {
		r.zones = append(r.zones, v.Zones[i].Name)
	}
	r.ZonesHash = hashZones(v)
}

// hashZones returns a hash of the names of a view's zones in their order; never 0.
func hashZones(v *View) uint32 {
	h := fnv.New32a()
	for i := range v.Zones {
		_, _ = h.Write(append([]byte(v.Zones[i].Name), 0)) // returns no error
	}
	return max(h.Sum32(), 1)
}
