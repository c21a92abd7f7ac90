package logstore

// Dedup keeps the record IDs of the last window offsets, so that a fold applies a record once
// even if its writer retried the append after a lost acknowledgement.
//
// The window must be large enough to hold the first copy of a record when its last retry
// arrives. A writer retries a record for at most AppenderConfig.RepeatFor plus one Timeout
// after its first attempt, so the window must cover the number of records that the log accepts
// in that time. With the default RepeatFor of 30 s and Timeout of 2 s, at up to 500 appends per
// second of up to 32 records, this is at most 500/s x 32 records x 32 s = 512,000 offsets. A fold
// that passes only its own kind of records can use a smaller window.
//
// The result depends only on the entries of the window, so replicas that have read them agree.
// A replica that starts to fold at offset V must first call Fresh for the entries from offset
// V-window up to V, without folding them.
type Dedup struct {
	window int64
	seen   map[string]int64 // offset by record ID
	order  []seenID         // in ascending order of offset
	head   int              // index of the oldest ID in order; those before it are evicted
}

type seenID struct {
	id     string
	offset int64
}

// NewDedup returns an empty Dedup with a window in offsets; a window below 1 means 1.
func NewDedup(window int64) *Dedup {
	return &Dedup{window: max(1, window), seen: map[string]int64{}}
}

// Fresh adds the record ID of e and reports whether e is the first copy of its record in the
// window. Entries must be passed in ascending order of offset; the result is false for an
// entry that is passed again.
func (d *Dedup) Fresh(e Entry) bool {
	d.evict(e.Offset - d.window)
	if _, ok := d.seen[e.Record.ID]; ok {
		return false
	}
	d.seen[e.Record.ID] = e.Offset
	d.order = append(d.order, seenID{e.Record.ID, e.Offset})
	return true
}

// Len returns the number of stored IDs.
func (d *Dedup) Len() int { return len(d.seen) }

// evict removes the IDs of offsets below the given one.
func (d *Dedup) evict(below int64) {
	for d.head < len(d.order) && d.order[d.head].offset < below {
		delete(d.seen, d.order[d.head].id)
		d.head++
	}
	if d.head > len(d.order)/2 {
		d.order = append([]seenID(nil), d.order[d.head:]...)
		d.head = 0
	}
}
