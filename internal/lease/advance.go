package lease

import "time"

// Advance records that every record below next was folded or concerns neither members nor
// ownership. Without this call, ObserveHead would ignore a head above the last folded record of
// members or ownership until the next such record is folded.
func (l *Lessor) Advance(next int64) {
	l.nextOffset = max(l.nextOffset, next)
}

// SetResendHorizon raises the time during which callers may resend a key to the value of the
// configuration in force. It never lowers it: a key whose outcome was unknown under the longer
// horizon keeps that state.
func (l *Lessor) SetResendHorizon(d time.Duration) {
	l.cfg.ResendHorizon = max(l.cfg.ResendHorizon, d)
}
