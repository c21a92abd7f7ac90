package timeline

// kindGroup is a group of kinds that share a colour in the picture.
type kindGroup struct {
	name   string
	colour string
}

var (
	groupCall      = kindGroup{"call", "#1f6fb4"}
	groupAnswer    = kindGroup{"answer", "#2a8f3c"}
	groupRefusal   = kindGroup{"refusal", "#c62828"}
	groupRetry     = kindGroup{"retry", "#e07b00"}
	groupMember    = kindGroup{"membership", "#00838f"}
	groupDrain     = kindGroup{"drain", "#8d6e00"}
	groupConfig    = kindGroup{"configuration", "#6a3fb0"}
	groupOwnership = kindGroup{"ownership", "#ad1b78"}
	groupCrash     = kindGroup{"crash", "#7a0f0f"}
	groupPlatform  = kindGroup{"log and peers", "#455a64"}
	groupLoad      = kindGroup{"load", "#9e5b2f"}
	groupProcess   = kindGroup{"process", "#212121"}
)

// groups contains all groups in the order of the legend.
var groups = []kindGroup{
	groupCall, groupAnswer, groupRefusal, groupRetry, groupMember, groupDrain,
	groupConfig, groupOwnership, groupCrash, groupPlatform, groupLoad, groupProcess,
}

var groupByKind = map[Kind]kindGroup{
	CallReceived: groupCall, CallRouted: groupCall, CallAdmitted: groupCall,
	CallQueued: groupCall, CallStarted: groupCall, CallJoined: groupCall, RoomGranted: groupCall,
	CallAnswered: groupAnswer,
	CallRefused:  groupRefusal, AuthRefused: groupRefusal, CallCancelled: groupRefusal,
	CallRetried: groupRetry, CallReattached: groupRetry,
	UpstreamJoined: groupMember, UpstreamLeft: groupMember,
	UpstreamEjected: groupMember, UpstreamBack: groupMember, UpstreamNotice: groupMember,
	DrainStarted: groupDrain, DrainFinished: groupDrain,
	ConfigApplied: groupConfig, PublicationDecided: groupConfig,
	SnapshotWritten: groupConfig, RelayChanged: groupConfig,
	Takeover: groupOwnership, AuthorityLost: groupOwnership,
	AuthorityGained: groupOwnership, HandedOver: groupOwnership,
	UpstreamCrashed: groupCrash, Suspected: groupCrash,
	Quarantined: groupCrash, Cleared: groupCrash,
	LogUnavailable: groupPlatform, LogBack: groupPlatform,
	PeerUnreachable: groupPlatform, PeerBack: groupPlatform,
	PartitionSeen: groupPlatform, PartitionHealed: groupPlatform, ConnReplaced: groupPlatform,
	OverloadStarted: groupLoad, OverloadFinished: groupLoad, ScarcityStarted: groupLoad, ScarcityFinished: groupLoad, LimitChanged: groupLoad,
	NodeStarted: groupProcess, NodeStopped: groupProcess,
}

// groupFor returns the group of a kind. Unknown kinds, sent by nodes of a newer version, belong to
// groupProcess.
func groupFor(k Kind) kindGroup {
	if g, ok := groupByKind[k]; ok {
		return g
	}
	return groupProcess
}

// Kinds returns all kinds of this version in unspecified order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(groupByKind))
	for k := range groupByKind {
		kinds = append(kinds, k)
	}
	return kinds
}
