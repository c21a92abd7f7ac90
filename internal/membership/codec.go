package membership

import (
	"encoding/json"
	"fmt"
	"maps"

	"github.com/cespare/xxhash/v2"
)

// snapshot is the encoding of a View in a log record or in a response to a peer.
type snapshot struct {
	Version int64                `json:"v"`
	Members []Member             `json:"m"`
	Gone    map[string]tombstone `json:"g,omitempty"`
}

// Marshal returns the view as JSON; equal views give equal bytes.
func (v *View) Marshal() ([]byte, error) {
	return json.Marshal(snapshot{Version: v.version, Members: v.Members(), Gone: v.tombstones})
}

// Unmarshal decodes the output of Marshal. Members and tombstones out of bounds are skipped, as in the log.
func Unmarshal(b []byte) (*View, error) {
	var s snapshot
	if err := json.Unmarshal(b, &s); err != nil {
		return nil, fmt.Errorf("membership: decode snapshot: %w", err)
	}
	maps.DeleteFunc(s.Gone, func(node string, t tombstone) bool { return Identity{node, t.Incarnation}.Validate() != nil })
	v := &View{tombstones: s.Gone, version: s.Version}
	v.init()
	for _, m := range s.Members {
		if m.Validate() != nil {
			continue
		}
		v.members[m.Node] = m
		v.nodeByAddr[m.InnerAddr] = m.Node
	}
	return v, nil
}

// Digest returns a hash for a cheap comparison of views: equal members give equal digests,
// regardless of the version. It is the exclusive or of one hash per member.
func (v *View) Digest() uint64 {
	var d uint64
	for _, m := range v.members {
		d ^= m.hash()
	}
	return d
}

func (m Member) hash() uint64 {
	// The error is always nil: a Member holds only strings, numbers, a bool and a UTC time.
	b, _ := json.Marshal(m)
	return xxhash.Sum64(b)
}
