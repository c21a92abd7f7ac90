package idempotency

import "time"

// Stats is what operators see of a Table.
type Stats struct {
	// Running is the number of keys whose call has not ended.
	Running int `json:"running"`
	// Answered is the number of keys with a kept answer.
	Answered int `json:"answered"`
	// Evicted is the number of keys that ran and whose answer is gone.
	Evicted int `json:"evicted"`
	// Lost is the number of keys whose outcome is unknown.
	Lost int `json:"lost"`
	// Bytes is what the kept answers are charged with.
	Bytes int64 `json:"bytes"`
	// Oldest is how long ago the least recent key was seen.
	Oldest time.Duration `json:"oldest"`
	// Full says that new keys are refused.
	Full bool `json:"full"`
}

// Stats counts the keys by what is known of them. It walks the whole table, so
// it is for a metrics interval and not for the path of a call.
func (t *Table) Stats(now time.Time) Stats {
	s := Stats{Bytes: t.bytes, Full: len(t.records) >= t.cfg.MaxKeys}
	for _, r := range t.records {
		switch r.state {
		case running:
			s.Running++
		case answered:
			s.Answered++
		case evicted:
			s.Evicted++
		default:
			s.Lost++
		}
	}
	if e := t.ages.Front(); e != nil {
		s.Oldest = max(0, now.Sub(e.Value.(*record).seen))
	}
	return s
}
