package overview

import (
	"encoding/hex"
	"hash/fnv"
)

// idBytes is the length of a workspace's ID in bytes, and idMark the first character of its text, which
// no name of a workspace contains.
const (
	idBytes = 6
	idMark  = '#'
)

// WorkspaceID returns the text that stands for a workspace in messages: a hash of its name. An ID is
// returned as it is.
func WorkspaceID(name string) string { return idText(idOf(name)) }

func idText(id [idBytes]byte) string { return string(idMark) + hex.EncodeToString(id[:]) }

// idOf returns the ID of a workspace's name or of the text of an ID.
func idOf(name string) (id [idBytes]byte) {
	if len(name) == 1+2*idBytes && name[0] == idMark {
		if _, err := hex.Decode(id[:], []byte(name[1:])); err == nil {
			return id
		}
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // returns no error
	sum := h.Sum64()
	sum ^= sum >> (8 * idBytes)
	for i := range id {
		id[i] = byte(sum >> (8 * i))
	}
	return id
}

// WithIDs returns the report as its receiver decodes it: with IDs in place of the names of workspaces.
func (r *Report) WithIDs() *Report {
	out := *r
	out.Workspaces = make([]WorkspaceDemand, len(r.Workspaces))
	for i, w := range r.Workspaces {
		out.Workspaces[i] = WorkspaceDemand{WorkspaceID(w.Workspace), w.PerSecond}
	}
	return &out
}

// NameWorkspaces replaces the IDs of workspaces by their names, as far as names, by ID, has them.
func (v *View) NameWorkspaces(names map[string]string) {
	v.Top, v.Workspaces = named(v.Top, names), named(v.Workspaces, names)
}

// named returns a copy, since views may share a list.
func named(list []WorkspaceDemand, names map[string]string) []WorkspaceDemand {
	var out []WorkspaceDemand
	for _, w := range list {
		if name, known := names[w.Workspace]; known {
			w.Workspace = name
		}
		out = append(out, w)
	}
	return out
}
