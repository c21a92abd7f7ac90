package idempotency

import "time"

// Stats holds the figures of a Table that are shown to operators.
type Stats struct {
	// Running is the number of keys whose call is still running.
	Running int `json:"running"`
	// Stored is the number of keys with a stored response.
	Stored int `json:"answered"`
	// Evicted is the number of keys whose call ended with a response that is no longer stored.
	Evicted int `json:"evicted"`
	// OutcomeUnknown is the number of keys whose call has an unknown outcome.
	OutcomeUnknown int `json:"lost"`
	// Bytes is the size of the stored responses, including responseOverhead for each one.
	Bytes int64 `json:"bytes"`
	// Oldest is the time since the last use of the least recently used key.
	Oldest time.Duration `json:"oldest"`
	// Full reports whether new keys are refused because the table holds MaxKeys keys.
	Full bool `json:"full"`
}

// Stats counts the keys by state. It visits every key, so it is meant for periodic metrics and not
// for the path of a call.
func (t *Table) Stats(now time.Time) Stats {
	s := Stats{Bytes: t.storedBytes, Full: len(t.records) >= t.cfg.MaxKeys}
	for _, r := range t.records {
		switch r.state {
		case running:
			s.Running++
		case responseStored:
			s.Stored++
		case responseEvicted:
			s.Evicted++
		default:
			s.OutcomeUnknown++
		}
	}
	if e := t.byLastSeen.Front(); e != nil {
		s.Oldest = max(0, now.Sub(e.Value.(*record).lastSeen))
	}
	return s
}
