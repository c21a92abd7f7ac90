package mesh

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/admission"
)

const (
	// sojournTarget is the standing delay at a guard that is accepted without end.
	sojournTarget = 30 * time.Millisecond
	// maxWait bounds one wait at a guard.
	maxWait = 400 * time.Millisecond
	// queueShare is the length of a guard's queue in slots.
	queueShare = 6
)

// admissionConfig is that of a guard whose service has no template.
func admissionConfig(slots int) admission.Config {
	cfg := admission.DefaultConfig(slots)
	cfg.SojournTarget = sojournTarget
	cfg.MaxWait = maxWait
	cfg.QueueLimit = min(admission.MaxQueue, queueShare*cfg.Slots)
	return cfg
}
