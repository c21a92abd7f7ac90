package control

import (
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/membership"
	"github.com/galenagrade/galenagrade/internal/policy"
)

// State makes the answer to a node that can't get on by single records.
func (p *Plane) State(now time.Time) (*innerpb.FetchStateResponse, error) {
	out := &innerpb.FetchStateResponse{
		From:        Ref(p.self),
		Head:        p.headOf(now),
		Drains:      p.drainUpdates(now),
		SoftMembers: p.softUpdates(now),
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
		return nil, errors.Wrap(err, "members")
	}
	digest := &innerpb.Digest{NextOffset: uint64(p.replica.Next()), Version: uint64(p.Policy().Version())}
	out.State = []*innerpb.StatePart{
		{Kind: innerpb.StateKind_STATE_KIND_CONFIG, Digest: digest, Json: config, Whole: true},
		{Kind: innerpb.StateKind_STATE_KIND_MEMBERS, Digest: digest, Json: members, Whole: true},
	}
	return out, nil
}

// OnState takes a peer's state. It is checked as a whole first, and nothing
// older than what is in force is taken from it.
func (p *Plane) OnState(now time.Time, s *innerpb.FetchStateResponse) error {
	for _, d := range s.GetDrains() {
		p.takeDrain(now, identityOf(d.GetNodeId(), d.GetIncarnation()), age(d.GetAgeUs()), false)
	}
	for _, m := range s.GetSoftMembers() {
		p.takeSoft(now, m, false)
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
			return errors.Wrapf(err, "state of %s", s.GetFrom().GetNodeId())
		}
		next = int64(part.GetDigest().GetNextOffset())
	}
	if config == nil || members == nil || int64(config.Version()) < next {
		return errors.Errorf("state of %s is not whole", s.GetFrom().GetNodeId())
	}
	if p.replica.Adopt(config, members, next) {
		p.settled = true
		p.fromBelow++
		p.updates++
		p.membersChanged(now)
	}
	return nil
}
