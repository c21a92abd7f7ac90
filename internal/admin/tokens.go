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

// Tokens recognises bearer tokens by their hashes. It is immutable.
type Tokens struct {
	entries []tokenEntry
}

type tokenEntry struct {
	sum      [sha256.Size]byte
	identity Identity
}

// Identity is whom a token stands for.
type Identity struct {
	Name       string
	Role       settings.Role
	workspaces []string
}

// NewTokens takes the tokens of validated settings.
func NewTokens(list []settings.Token) (*Tokens, error) {
	t := &Tokens{entries: make([]tokenEntry, 0, len(list))}
	for i, s := range list {
		raw, err := hex.DecodeString(s.SHA256)
		if err != nil || len(raw) != sha256.Size {
			return nil, errors.Errorf("tokens[%d].sha256 is %q, must be 64 hexadecimal digits", i, s.SHA256)
		}
		e := tokenEntry{identity: Identity{Name: s.Name, Role: s.Role, workspaces: slices.Clone(s.Workspaces)}}
		copy(e.sum[:], raw)
		t.entries = append(t.entries, e)
	}
	return t, nil
}

// Lookup returns whom token stands for. It compares with every entry in
// constant time, so that the time taken says nothing of a near miss.
func (t *Tokens) Lookup(token string) (Identity, bool) {
	sum := sha256.Sum256([]byte(token))
	found := -1
	for i := range t.entries {
		equal := subtle.ConstantTimeCompare(sum[:], t.entries[i].sum[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return Identity{}, false
	}
	return t.entries[found].identity, true
}

// Covers reports whether the identity may act for a workspace.
func (i Identity) Covers(workspace string) bool {
	return i.CoversAll() || slices.Contains(i.workspaces, workspace)
}

// CoversAll reports whether the identity may act for every workspace.
func (i Identity) CoversAll() bool { return slices.Contains(i.workspaces, settings.AllWorkspaces) }

// maxTokenLen bounds a token before it is hashed.
const maxTokenLen = 512

// Bearer returns the token of an Authorization header, or "".
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
