package inner

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/quarantine"
)

// FromSuspects makes messages of records known at now. Times go as ages, since
// the clocks of two nodes differ.
func FromSuspects(list []quarantine.Suspect, now time.Time) []*innerpb.Suspect {
	if len(list) == 0 {
		return nil
	}
	out := make([]*innerpb.Suspect, len(list))
	for i, s := range list {
		out[i] = &innerpb.Suspect{
			Fingerprint: uint64(s.Fingerprint),
			Upstream:    s.Upstream,
			Incarnation: s.Incarnation,
			AgeUs:       clampMicros(now.Sub(s.At)),
			Cleared:     s.Cleared,
			Alone:       s.Alone,
		}
	}
	return out
}

// ToSuspects makes records of messages received at now.
func ToSuspects(list []*innerpb.Suspect, now time.Time) []quarantine.Suspect {
	if len(list) == 0 {
		return nil
	}
	out := make([]quarantine.Suspect, len(list))
	for i, s := range list {
		out[i] = quarantine.Suspect{
			Fingerprint: quarantine.Fingerprint(s.GetFingerprint()),
			Upstream:    s.GetUpstream(),
			Incarnation: s.GetIncarnation(),
			At:          now.Add(-micros(s.GetAgeUs())),
			Cleared:     s.GetCleared(),
			Alone:       s.GetAlone(),
		}
	}
	return out
}
