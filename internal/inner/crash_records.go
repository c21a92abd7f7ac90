package inner

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/quarantine"
)

// CrashRecordMessage converts a crash record into the message that nodes gossip. The message contains
// the age of the record instead of its time, since the clocks of nodes differ.
func CrashRecordMessage(now time.Time, s quarantine.CrashRecord) *innerpb.Suspect {
	return &innerpb.Suspect{
		Fingerprint: uint64(s.Fingerprint),
		Upstream:    s.Upstream,
		Incarnation: s.Incarnation,
		AgeUs:       max(0, now.Sub(s.At).Microseconds()),
		Cleared:     s.Cleared,
		Alone:       s.Alone,
	}
}

// CrashRecordFrom converts a message received at now into a crash record.
func CrashRecordFrom(now time.Time, s *innerpb.Suspect) quarantine.CrashRecord {
	return quarantine.CrashRecord{
		Fingerprint: quarantine.Fingerprint(s.GetFingerprint()),
		Upstream:    s.GetUpstream(),
		Incarnation: s.GetIncarnation(),
		At:          now.Add(-time.Duration(s.GetAgeUs()) * time.Microsecond),
		Cleared:     s.GetCleared(),
		Alone:       s.GetAlone(),
	}
}

// CrashRecordMessages converts crash records known at now into messages.
func CrashRecordMessages(now time.Time, list []quarantine.CrashRecord) []*innerpb.Suspect {
	var out []*innerpb.Suspect
	for _, s := range list {
		out = append(out, CrashRecordMessage(now, s))
	}
	return out
}

// CrashRecords converts messages received at now into crash records.
func CrashRecords(now time.Time, list []*innerpb.Suspect) []quarantine.CrashRecord {
	var out []quarantine.CrashRecord
	for _, s := range list {
		out = append(out, CrashRecordFrom(now, s))
	}
	return out
}
