// Package callctx holds the context that one call carries through a chain of
// services: who asked, for what, until when, how important it is and how many
// retries the whole tree may still make. It also decodes that context from
// the headers of callers, which are hostile until checked.
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
	// LevelLow is shed first and stands in for every unknown name.
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

// ParseLevel returns the level with that name. Every unknown name is LevelLow:
// a caller must not gain by inventing one.
func ParseLevel(name string) Level {
	for i, n := range levelNames {
		if n == name {
			return Level(i)
		}
	}
	return LevelLow
}

// Context is what a call carries. It is immutable once made; a child call gets
// a new one from Child.
type Context struct {
	// RequestID names the root request; every call of its tree carries it.
	RequestID string
	// CallID names this call. Attempts at other upstreams get new call IDs;
	// a re-attachment to the same upstream incarnation keeps it.
	CallID string
	// ParentID is the call that made this one; empty at the root.
	ParentID  string
	Workspace string
	Service   string
	Level     Level
	// Deadline is on the local clock; on the wire it is the time remaining.
	Deadline time.Time
	// RootAdmitted is when the root request entered, on the local clock.
	RootAdmitted time.Time
	// Depth is 0 at the root.
	Depth int
	// CallerHash spreads callers evenly so that shedding drops whole callers.
	CallerHash uint32
	// Idempotent says that running the call twice does no harm.
	Idempotent bool
	// Key is the caller's Idempotency-Key; empty when there is none.
	Key string
	// KeyIssued is when the key was made, zero when unknown.
	KeyIssued time.Time
	// TraceParent is passed on as it came.
	TraceParent string
}

// NoWorkspace stands for the workspace of requests that come by routes without a known
// one. No workspace may have this name.
const NoWorkspace = "-"

// Remaining is the time left at now; never negative.
func (c *Context) Remaining(now time.Time) time.Duration {
	return max(0, c.Deadline.Sub(now))
}

// HashCaller maps a caller's identity to the hash that shedding uses. Identities are often
// counted: neighbours must not get neighbouring hashes, or they are shed in bursts.
func HashCaller(workspace, caller string) uint32 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(workspace)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(caller)
	return uint32(h.Sum64() >> 32)
}
