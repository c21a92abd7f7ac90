package lease

// Advance says that every record below next was folded or concerns neither
// members nor ownership. Without it a proof of the log's head would wait for
// the next such record.
func (l *Lessor) Advance(next int64) {
	l.next = max(l.next, next)
}
