// Package callctx defines the context that a call carries through a chain of services: request
// and call IDs, workspace, service, level, deadline and idempotency key. It also decodes that
// context from the headers of callers, which are untrusted input.
package callctx

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Level is the importance of a call; lower is more important.
type Level uint8

const (
	// LevelCritical is shed last.
	LevelCritical Level = iota
	// LevelHigh is shed after normal work.
	LevelHigh
	// LevelNormal is shed after low work.
	LevelNormal
	// LevelLow is shed first. Unknown level names are parsed as LevelLow.
	LevelLow
	// Levels is the number of levels.
	Levels = 4
)

var levelNames = [Levels]string{"critical", "high", "normal", "low"}

// String returns the name used in headers and templates.
func (l Level) String() string {
	if int(l) < Levels {
		return levelNames[l]
	}
	return levelNames[LevelLow]
}

// ParseLevel returns the level with that name. An unknown name returns LevelLow, so that a
// caller gains nothing by inventing one.
func ParseLevel(name string) Level {
	for i, n := range levelNames {
		if n == name {
			return Level(i)
		}
	}
	return LevelLow
}

// Context is the context of one call. It is immutable once made; a child call gets its own
// copy.
type Context struct {
	// RequestID names the root request; every call of its tree carries it.
	RequestID string
	// CallID names this call. Attempts at other upstreams get new call IDs;
	// a re-attachment to the same upstream incarnation keeps it.
	CallID string
	// ParentID is the ID of the call that made this one; empty at the root.
	ParentID  string
	Workspace string
	Service   string
	Level     Level
	// Deadline is a time on the local clock; on the wire it is sent as the time remaining.
	Deadline time.Time
	// RootAdmitted is the time at which the root request entered the system, on the local
	// clock.
	RootAdmitted time.Time
	// Depth is the number of calls above this one in its tree; 0 at the root.
	Depth int
	// CallerHash is the evenly distributed hash of the caller. Shedding compares it with a
	// threshold, and so drops all calls of some callers instead of some calls of every caller.
	CallerHash uint32
	// Idempotent means that the call is safe to run twice.
	Idempotent bool
	// Key is the caller's Idempotency-Key; empty when there is none.
	Key string
	// KeyIssued is the time at which the caller created the key; zero when unknown.
	KeyIssued time.Time
	// TraceParent is the caller's Traceparent header, passed on unchanged.
	TraceParent string
}

// NoWorkspace is the workspace of requests whose route has no known workspace. No workspace may
// have this name.
const NoWorkspace = "-"

// Remaining returns the time left until the deadline; never negative.
func (c *Context) Remaining(now time.Time) time.Duration {
	return max(0, c.Deadline.Sub(now))
}

// HashCaller returns the hash of a caller, which shedding compares with a threshold. Callers are
// often numbered in sequence. If similar names got similar hashes, consecutive callers would be
// shed in bursts.
func HashCaller(workspace, caller string) uint32 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(workspace)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(caller)
	return uint32(h.Sum64() >> 32)
}
