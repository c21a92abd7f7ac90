package lease

import "time"

// Advance says that every record below next was folded or concerns neither
// members nor ownership. Without it a proof of the log's head would wait for
// the next such record.
func (l *Lessor) Advance(next int64) {
	l.next = max(l.next, next)
}

// SetResendHorizon raises the time in which callers may resend a key, as the
// template in force has it. It never falls: a key that was unknown when it was
// longer stays so.
func (l *Lessor) SetResendHorizon(d time.Duration) {
	l.cfg.ResendHorizon = max(l.cfg.ResendHorizon, d)
}
