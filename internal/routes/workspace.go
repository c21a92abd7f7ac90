package routes

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

// Key is the digest of a workspace's API key. The API key itself is not stored, so that it can't
// appear in a log, a metric or a response.
type Key [sha256.Size]byte

// KeyOf returns the digest of an API key.
func KeyOf(apiKey string) Key { return sha256.Sum256([]byte(apiKey)) }

// fingerprintBytes is the length of the prefix of a digest that identifies a key in logs.
const fingerprintBytes = 4

// String returns a fingerprint of the key for logs and differences.
func (k Key) String() string { return hex.EncodeToString(k[:fingerprintBytes]) }

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, k[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil {
		return fmt.Errorf("decode key digest: %w", err)
	}
	if len(raw) != len(k) {
		return fmt.Errorf("key digest: %d bytes, must be %d", len(raw), len(k))
	}
	copy(k[:], raw)
	return nil
}

// emptyKey is the digest of an empty API key, which no workspace may hold.
var emptyKey = KeyOf("")

// Workspace is an organisation whose callers authenticate with API keys.
type Workspace struct {
	Name string
	Keys []Key
	// Level is the importance of its requests and overrides that of their routes; nil selects the
	// level of the route.
	Level *callctx.Level
	// Rate is its quota over all nodes in requests a second; 0 means no limit.
	Rate float64
	// Burst is the number of requests by which Rate may be exceeded at once.
	Burst float64
}

// Limited reports whether the workspace has a quota.
func (w *Workspace) Limited() bool { return w.Rate > 0 }

// Bounds of the workspaces of a configuration.
const (
	// MaxWorkspaces bounds the workspaces of a configuration.
	MaxWorkspaces = 16384
	// MaxWorkspaceKeys bounds the keys of one workspace.
	MaxWorkspaceKeys = 256
	// MaxRate bounds a quota, in requests a second: the planned load of all nodes.
	MaxRate = 10_000_000
)

func (c *Config) validateWorkspaces() error {
	if len(c.Workspaces) > MaxWorkspaces {
		return &FieldError{"workspaces", len(c.Workspaces), fmt.Sprintf("at most %d", MaxWorkspaces)}
	}
	names := make(map[string]bool, len(c.Workspaces))
	holders := make(map[Key]string, len(c.Workspaces))
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		if err := w.validate(); err != nil {
			return err
		}
		if names[w.Name] {
			return &FieldError{w.field("name"), w.Name, "given once"}
		}
		names[w.Name] = true
		for _, k := range w.Keys {
			if holder, taken := holders[k]; taken {
				return &FieldError{w.field("keys"), k, "unique, is already a key of " + holder}
			}
			holders[k] = w.Name
		}
	}
	return nil
}

func (w *Workspace) field(name string) string { return "workspace " + w.Name + ": " + name }

func (w *Workspace) validate() error {
	switch {
	case !callctx.ValidName(w.Name) || w.Name == callctx.NoWorkspace:
		return &FieldError{"workspaces.name", w.Name, "a name of 1 to 64 letters, digits, '-', '_' or '.', other than '-'"}
	case len(w.Keys) > MaxWorkspaceKeys:
		return &FieldError{w.field("keys"), len(w.Keys), fmt.Sprintf("at most %d", MaxWorkspaceKeys)}
	case !(w.Rate >= 0 && w.Rate <= MaxRate):
		return &FieldError{w.field("rate"), w.Rate, fmt.Sprintf("0 to %d requests a second", MaxRate)}
	case !(w.Burst >= 0 && w.Burst <= MaxRate):
		return &FieldError{w.field("burst"), w.Burst, fmt.Sprintf("0 to %d requests", MaxRate)}
	}
	for _, k := range w.Keys {
		if k == emptyKey {
			return &FieldError{w.field("keys"), `""`, "not empty"}
		}
	}
	return nil
}
