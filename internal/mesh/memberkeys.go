package mesh

import (
	"fmt"
	"strings"

	"github.com/galenagrade/galenagrade/internal/fleet"
)

// nodePrefix is the prefix of the keys of member records.
const nodePrefix = "node/"

// zonePrefix is the prefix of the keys of the member records of a zone.
func zonePrefix(region, zone string) string { return nodePrefix + region + "/" + zone + "/" }

// memberKey returns the key of a member's record. Each revision has a key of its own: the store may do a
// write without a response after later ones, and the newest record of a shared key would then be an
// older revision. The records of a zone have neighbouring keys, so that a starting node reads those of its
// own zone in one call, and the keys of a node grow with its revisions, so that a read in pages can't miss
// the newest while it replaces the one before.
func memberKey(m *fleet.Member) string {
	return fmt.Sprintf("%s%016x.%08x/%s", zonePrefix(m.Region, m.Zone), m.Incarnation, m.Revision, m.Node)
}

// keyCheck reports whether a record may have a key.
type keyCheck func(key string, m *fleet.Member) bool

// isMemberKeyOf reports whether a key is that of a member's record, also of an earlier version of galenad.
func isMemberKeyOf(key string, m *fleet.Member) bool {
	return key == memberKey(m) || key == zonePrefix(m.Region, m.Zone)+m.Node
}

// isKeyOfNode reports whether a key is that of a record of a member's node, also of another revision.
func isKeyOfNode(key string, m *fleet.Member) bool {
	prefix := zonePrefix(m.Region, m.Zone)
	return key == prefix+m.Node || strings.HasPrefix(key, prefix) && strings.HasSuffix(key, "/"+m.Node)
}

// isUnstoredKeyOf reports whether a key is that of a member's record that nodes pass on among each other,
// because the store did not accept it.
func isUnstoredKeyOf(key string, m *fleet.Member) bool { return key == m.Node }
