package idempotency

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Key identifies a request of a caller that must run at most once.
type Key struct {
	Workspace string
	Service   string
	// Key is the value of the caller's Idempotency-Key header.
	Key string
}

// Hash returns the hash that assigns the key to a slot. A zero byte follows each part, so that
// ("a", "bc") and ("ab", "c") differ.
func (k Key) Hash() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{k.Workspace, k.Service, k.Key} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64()
}

const (
	ulidLen      = 26 // characters of a ULID
	ulidTimeLen  = 10 // leading characters that hold the time, most significant first
	ulidAlphabet = "0123456789ABCDEFGHJKMNPQRSTVWXYZ"
	ulidMaxFirst = '7' // a larger first character overflows the 48-bit time
	uuidLen      = 36  // the canonical form; other forms are not parsed
)

// IssuedAt returns the time at which a key was created, with millisecond precision. It reads the
// time from a UUIDv7 or a ULID and returns false if the key is neither. The time is from the clock
// of the key's creator, so the caller must allow for the maximum clock skew.
func IssuedAt(key string) (time.Time, bool) {
	switch len(key) {
	case uuidLen:
		return uuidTime(key)
	case ulidLen:
		return ulidTime(key)
	}
	return time.Time{}, false
}

func uuidTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

func ulidTime(key string) (time.Time, bool) {
	key = strings.ToUpper(key)
	if key[0] > ulidMaxFirst {
		return time.Time{}, false
	}
	var ms int64
	for i := range ulidLen {
		v := strings.IndexByte(ulidAlphabet, key[i])
		if v < 0 {
			return time.Time{}, false
		}
		if i < ulidTimeLen {
			ms = ms<<5 | int64(v)
		}
	}
	return time.UnixMilli(ms), true
}
