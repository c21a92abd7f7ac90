package logstore

// Dedup remembers the IDs of the last window offsets, so that a record that a
// writer appended again after a lost acknowledgement folds once.
//
// What makes the bound sound: a writer repeats a record for at most
// AppenderConfig.RepeatFor plus one Timeout after its first attempt, and the
// log takes a bounded number of records in that time. A window of at least
// that number still holds the first copy when the last repeat arrives. At the
// log's several hundred appends a second and groups of up to 32 records this
// is 500 x 32 x 32 s = 512,000 offsets at the very most; a fold that sees only
// its own kind may use fewer.
//
// The answer depends on nothing but the entries of the window, so replicas
// that have read them agree. A replica that starts at offset V must first feed
// the entries from V-window on (without folding them).
type Dedup struct {
	window int64
	seen   map[string]int64
	order  []seenID
	first  int
}

type seenID struct {
	id     string
	offset int64
}

// NewDedup returns a memory over window offsets; window below 1 means 1.
func NewDedup(window int64) *Dedup {
	return &Dedup{window: max(1, window), seen: map[string]int64{}}
}

// Fresh reports whether e is the first copy of its record, and remembers it.
// Entries must come in ascending order of offset; one that comes again is not
// fresh.
func (d *Dedup) Fresh(e Entry) bool {
	d.forget(e.Offset - d.window)
	if _, ok := d.seen[e.Record.ID]; ok {
		return false
	}
	d.seen[e.Record.ID] = e.Offset
	d.order = append(d.order, seenID{e.Record.ID, e.Offset})
	return true
}

// Len returns how many IDs are remembered.
func (d *Dedup) Len() int { return len(d.seen) }

func (d *Dedup) forget(below int64) {
	for d.first < len(d.order) && d.order[d.first].offset < below {
		delete(d.seen, d.order[d.first].id)
		d.first++
	}
	if d.first > len(d.order)/2 {
		d.order = append([]seenID(nil), d.order[d.first:]...)
		d.first = 0
	}
}
