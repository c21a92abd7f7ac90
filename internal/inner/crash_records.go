package inner

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/quarantine"
)

// SuspectMessage is a record of suspicion as nodes pass it on: clocks differ,
// so its time travels as an age.
func SuspectMessage(now time.Time, s quarantine.CrashRecord) *innerpb.Suspect {
	return &innerpb.Suspect{
		Fingerprint: uint64(s.Fingerprint),
		Upstream:    s.Upstream,
		Incarnation: s.Incarnation,
		AgeUs:       max(0, now.Sub(s.At).Microseconds()),
		Cleared:     s.Cleared,
		Alone:       s.Alone,
	}
}

// CrashRecord is the record of a message received at now.
func Suspect(now time.Time, s *innerpb.Suspect) quarantine.CrashRecord {
	return quarantine.CrashRecord{
		Fingerprint: quarantine.Fingerprint(s.GetFingerprint()),
		Upstream:    s.GetUpstream(),
		Incarnation: s.GetIncarnation(),
		At:          now.Add(-time.Duration(s.GetAgeUs()) * time.Microsecond),
		Cleared:     s.GetCleared(),
		Alone:       s.GetAlone(),
	}
}

// SuspectMessages makes messages of records known at now.
func SuspectMessages(now time.Time, list []quarantine.CrashRecord) []*innerpb.Suspect {
	var out []*innerpb.Suspect
	for _, s := range list {
		out = append(out, SuspectMessage(now, s))
	}
	return out
}

// CrashRecords makes records of messages received at now.
func Suspects(now time.Time, list []*innerpb.Suspect) []quarantine.CrashRecord {
	var out []quarantine.CrashRecord
	for _, s := range list {
		out = append(out, Suspect(now, s))
	}
	return out
}
