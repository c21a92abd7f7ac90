package server

import (
	"fmt"
	"strconv"

	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/membership"
)

func (s *Server) nodeRef() *innerpb.NodeRef {
	id := s.node.Identity()
	return &innerpb.NodeRef{
		NodeId:      id.Node,
		Incarnation: strconv.FormatUint(id.Incarnation, 16),
		Region:      id.Region,
		Zone:        id.Zone,
		InnerAddr:   id.InnerAddr,
	}
}

func identityOf(r *innerpb.NodeRef) (membership.Identity, bool) {
	incarnation, err := strconv.ParseUint(r.GetIncarnation(), 16, 64)
	return membership.Identity{Node: r.GetNodeId(), Incarnation: incarnation}, err == nil
}

func slotNumbers(slots []int) []uint32 {
	out := make([]uint32, len(slots))
	for i, s := range slots {
		out[i] = uint32(s)
	}
	return out
}

func slotInts(slots []uint32) []int {
	out := make([]int, len(slots))
	for i, s := range slots {
		out[i] = int(s)
	}
	return out
}

func slotsDetail(slots []int) string { return fmt.Sprintf("%d slots", len(slots)) }
