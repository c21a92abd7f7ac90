package membership

import (
	"encoding/json"
	"fmt"
)

// Kinds of membership records in the log.
const (
	kindJoin  = "join"
	kindLeave = "leave"
	kindEvict = "evict"
)

// envelope is the encoding of a Record in the log.
type envelope struct {
	Kind   string    `json:"kind"`
	Member *Member   `json:"member,omitempty"`
	ID     *Identity `json:"id,omitempty"`
	By     *Identity `json:"by,omitempty"`
}

// MarshalRecord returns the encoding of a record in the log.
func MarshalRecord(rec Record) ([]byte, error) {
	switch r := rec.(type) {
	case Join:
		return json.Marshal(envelope{Kind: kindJoin, Member: &r.Member})
	case Leave:
		return json.Marshal(envelope{Kind: kindLeave, ID: &r.ID})
	case Evict:
		return json.Marshal(envelope{Kind: kindEvict, ID: &r.ID, By: &r.By})
	}
	return nil, fmt.Errorf("membership: cannot encode a record of type %T", rec)
}

// UnmarshalRecord decodes the output of MarshalRecord. A record without its member or identity is
// an error: folding it would have no effect, and the fault of its writer would stay hidden.
func UnmarshalRecord(b []byte) (Record, error) {
	var e envelope
	if err := json.Unmarshal(b, &e); err != nil {
		return nil, fmt.Errorf("membership: decode record: %w", err)
	}
	switch {
	case e.Kind == kindJoin && e.Member != nil && e.Member.Node != "":
		return Join{Member: *e.Member}, nil
	case e.Kind == kindLeave && e.ID != nil:
		return Leave{ID: *e.ID}, nil
	case e.Kind == kindEvict && e.ID != nil:
		return Evict{ID: *e.ID, By: deref(e.By)}, nil
	}
	return nil, fmt.Errorf("membership: record of kind %q is unknown or lacks its member or identity", e.Kind)
}

func deref(id *Identity) Identity {
	if id == nil {
		return Identity{}
	}
	return *id
}
