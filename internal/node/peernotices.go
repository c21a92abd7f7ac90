package node

import (
	"sync"
	"time"

	"github.com/galenagrade/galenagrade/internal/routing"
)

// peerNoticeMaxAge is the time for which a notice is remembered after the last response that carried it. An
// upstream that leaves exits well within it, and a rate limit is repeated in each response.
const peerNoticeMaxAge = time.Minute

// peerNotices are the notices of upstreams that arrived with the responses of their guards, by guard.
// They outlive the guards' processes and records: a guard that was restarted has to hear them from its
// senders.
type peerNotices struct {
	byGuard sync.Map // node ID to peerNotice
}

type peerNotice struct {
	notice *routing.ProcessNotice
	at     time.Time
}

// observe records what a guard's response says about its upstream. Only a response of the upstream
// itself can end a rate limit: a guard that refuses a call may have heard nothing yet. Nothing ends a
// leave, since the response may be from before it.
func (t *peerNotices) observe(now time.Time, guard string, a *Response) {
	if a.Load == nil {
		return
	}
	if a.Load.Notice != nil {
		t.byGuard.Store(guard, peerNotice{a.Load.Notice, now})
		return
	}
	if known := t.of(guard); known != nil && !known.Leaving && a.Complete() {
		t.byGuard.Delete(guard)
	}
}

// of returns the last notice of a guard's upstream, or nil.
func (t *peerNotices) of(guard string) *routing.ProcessNotice {
	if told, ok := t.byGuard.Load(guard); ok {
		return told.(peerNotice).notice
	}
	return nil
}

// expire removes the notices that are older than peerNoticeMaxAge.
func (t *peerNotices) expire(now time.Time) {
	t.byGuard.Range(func(guard, told any) bool {
		if now.Sub(told.(peerNotice).at) > peerNoticeMaxAge {
			t.byGuard.Delete(guard)
		}
		return true
	})
}
