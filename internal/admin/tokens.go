package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/settings"
)

// Tokens maps bearer tokens, stored as hashes, to identities. It is immutable.
type Tokens struct {
	entries []tokenEntry
}

// tokenEntry is the hash of a token with its identity.
type tokenEntry struct {
	hash     [sha256.Size]byte
	identity Identity
}

// Identity is the name, role and workspaces that a bearer token grants.
type Identity struct {
	// Name identifies the holder of the token, for the log, the timeline and publications.
	Name string
	// Role is the set of permissions.
	Role       settings.Role
	workspaces []string
}

// NewTokens returns the Tokens for the token list of the settings.
func NewTokens(list []settings.Token) (*Tokens, error) {
	t := &Tokens{entries: make([]tokenEntry, 0, len(list))}
	for i, s := range list {
		raw, err := hex.DecodeString(s.SHA256)
		if err != nil || len(raw) != sha256.Size {
			return nil, errors.Errorf("tokens[%d].sha256 is %q, must be 64 hexadecimal digits", i, s.SHA256)
		}
		e := tokenEntry{identity: Identity{Name: s.Name, Role: s.Role, workspaces: slices.Clone(s.Workspaces)}}
		copy(e.hash[:], raw)
		t.entries = append(t.entries, e)
	}
	return t, nil
}

// Lookup returns the identity of token. It compares the hash with every entry in constant time, so
// that the response time reveals nothing about partial matches.
func (t *Tokens) Lookup(token string) (Identity, bool) {
	sum := sha256.Sum256([]byte(token))
	found := -1
	for i := range t.entries {
		equal := subtle.ConstantTimeCompare(sum[:], t.entries[i].hash[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return Identity{}, false
	}
	return t.entries[found].identity, true
}

// Covers reports whether the identity has access to a workspace.
func (i Identity) Covers(workspace string) bool {
	return i.CoversAll() || slices.Contains(i.workspaces, workspace)
}

// CoversAll reports whether the identity has access to all workspaces.
func (i Identity) CoversAll() bool { return slices.Contains(i.workspaces, settings.AllWorkspaces) }

// maxTokenLen is the maximum length of a token in bytes. Longer tokens are rejected without being
// hashed.
const maxTokenLen = 512

// Bearer returns the token of an Authorization header, or "" if it has no bearer token or the token
// is too long.
func Bearer(header string) string {
	const scheme = "Bearer "
	if len(header) < len(scheme) || !strings.EqualFold(header[:len(scheme)], scheme) {
		return ""
	}
	token := strings.TrimSpace(header[len(scheme):])
	if len(token) > maxTokenLen {
		return ""
	}
	return token
}
