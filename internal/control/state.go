package control

import (
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/membership"
	"github.com/galenagrade/galenagrade/internal/policy"
)

// State returns the response to a node that cannot catch up with single records, because some
// of them are no longer available.
func (p *Plane) State(now time.Time) (*innerpb.FetchStateResponse, error) {
	out := &innerpb.FetchStateResponse{
		From:        Ref(p.self),
		Head:        p.headOf(now),
		Drains:      p.drainUpdates(now),
		SoftMembers: p.softMemberUpdates(now),
		Ready:       p.replica.Next() > 0 && !p.replica.Behind(),
	}
	if !out.Ready {
		return out, nil
	}
	config, err := p.Policy().Marshal()
	if err != nil {
		return nil, err
	}
	members, err := p.Members().Marshal()
	if err != nil {
		return nil, errors.Wrap(err, "marshal members")
	}
	digest := &innerpb.Digest{NextOffset: uint64(p.replica.Next()), Version: uint64(p.Policy().Version())}
	out.State = []*innerpb.StatePart{
		{Kind: innerpb.StateKind_STATE_KIND_CONFIG, Digest: digest, Json: config, Whole: true},
		{Kind: innerpb.StateKind_STATE_KIND_MEMBERS, Digest: digest, Json: members, Whole: true},
	}
	return out, nil
}

// OnState adopts the state of a peer. It first validates the complete state, and never replaces
// configuration or members by older ones.
func (p *Plane) OnState(now time.Time, s *innerpb.FetchStateResponse) error {
	for _, d := range s.GetDrains() {
		p.applyDrain(now, identityOf(d.GetNodeId(), d.GetIncarnation()), fromMicros(d.GetAgeUs()), false)
	}
	for _, m := range s.GetSoftMembers() {
		p.applySoftMember(now, m, false)
	}
	if !s.GetReady() {
		return nil
	}
	var config *policy.State
	var members *membership.View
	var next int64
	for _, part := range s.GetState() {
		var err error
		switch part.GetKind() {
		case innerpb.StateKind_STATE_KIND_CONFIG:
			config, err = policy.UnmarshalState(part.GetJson())
		case innerpb.StateKind_STATE_KIND_MEMBERS:
			members, err = membership.Unmarshal(part.GetJson())
		}
		if err != nil {
			return errors.Wrapf(err, "decode state of %s", s.GetFrom().GetNodeId())
		}
		next = int64(part.GetDigest().GetNextOffset())
	}
	if config == nil || members == nil || int64(config.Version()) < next {
		return errors.Errorf("control state from peer %s is incomplete: configuration or members are missing, or the configuration is older than the offset of the state", s.GetFrom().GetNodeId())
	}
	if p.replica.Adopt(config, members, next) {
		p.hasState = true
		p.upwardUpdates++
		p.updates++
		p.membersChanged(now)
	}
	return nil
}
