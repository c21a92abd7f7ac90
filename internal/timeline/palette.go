package timeline

// group gathers kinds that share a colour in the picture.
type group struct {
	name   string
	colour string
}

var (
	groupCall      = group{"call", "#1f6fb4"}
	groupAnswer    = group{"answer", "#2a8f3c"}
	groupRefusal   = group{"refusal", "#c62828"}
	groupRetry     = group{"retry", "#e07b00"}
	groupMember    = group{"membership", "#00838f"}
	groupDrain     = group{"drain", "#8d6e00"}
	groupConfig    = group{"configuration", "#6a3fb0"}
	groupOwnership = group{"ownership", "#ad1b78"}
	groupCrash     = group{"crash", "#7a0f0f"}
	groupPlatform  = group{"log and peers", "#455a64"}
	groupLoad      = group{"load", "#9e5b2f"}
	groupProcess   = group{"process", "#212121"}
)

// groups is the order of the legend.
var groups = []group{
	groupCall, groupAnswer, groupRefusal, groupRetry, groupMember, groupDrain,
	groupConfig, groupOwnership, groupCrash, groupPlatform, groupLoad, groupProcess,
}

var groupOf = map[Kind]group{
	CallReceived: groupCall, CallRouted: groupCall, CallAdmitted: groupCall,
	CallQueued: groupCall, CallStarted: groupCall, CallJoined: groupCall,
	CallAnswered: groupAnswer,
	CallRefused:  groupRefusal, AuthRefused: groupRefusal, CallCancelled: groupRefusal,
	CallRetried: groupRetry, CallReattached: groupRetry,
	UpstreamJoined: groupMember, UpstreamLeft: groupMember,
	UpstreamEjected: groupMember, UpstreamBack: groupMember,
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
	OverloadStarted: groupLoad, OverloadFinished: groupLoad, LimitChanged: groupLoad,
	NodeStarted: groupProcess, NodeStopped: groupProcess,
}

// groupFor returns the group of a kind; kinds of newer nodes count as process.
func groupFor(k Kind) group {
	if g, ok := groupOf[k]; ok {
		return g
	}
	return groupProcess
}

// Kinds returns every kind that this version knows, in no order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(groupOf))
	for k := range groupOf {
		kinds = append(kinds, k)
	}
	return kinds
}
