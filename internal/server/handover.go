package server

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/control"
	"github.com/galenagrade/galenagrade/internal/idempotency"
	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/lease"
	"github.com/galenagrade/galenagrade/internal/membership"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/timeline"
	"github.com/galenagrade/galenagrade/internal/wait"
)

// handOverAll moves every owned slot to the guards that take over after a planned stop, so
// that these guards know all keys. When a guard does not accept its slots, they are
// distributed among the others.
func (o *ownership) handOverAll(ctx context.Context) {
	service := o.state.Local()
	if service == "" {
		return
	}
	live := identities(o.server.control.liveMembersOf(service))
	for ctx.Err() == nil {
		moves := o.state.StopPlan(live)
		if len(moves) == 0 {
			break
		}
		for _, m := range moves {
			if !o.moveInSteps(ctx, m) {
				live = slices.DeleteFunc(live, func(id membership.Identity) bool { return id == m.To })
			}
		}
	}
	o.awaitTakeovers(ctx)
}

// moveInSteps moves all slots without running calls in one step, and then the others in steps of
// slotsPerStep. The steps are small because calls for a moving slot wait until the slowest running
// call of the same step ends. It reports whether the other guard accepted all slots.
func (o *ownership) moveInSteps(ctx context.Context, m lease.MoveSlots) bool {
	var idle, busy []int
	for _, slot := range m.Slots {
		if o.server.node.Guard().KeysBusy(o.state.InSlots([]int{slot})) > 0 {
			busy = append(busy, slot)
		} else {
			idle = append(idle, slot)
		}
	}
	steps := slices.Collect(slices.Chunk(busy, slotsPerStep))
	if len(idle) > 0 {
		steps = append([][]int{idle}, steps...)
	}
	for _, step := range steps {
		if !o.move(ctx, lease.MoveSlots{To: m.To, Addr: m.Addr, Slots: step}) {
			return false
		}
	}
	return true
}

// awaitTakeovers waits until the log contains the takeovers by the new owners. If the leave
// record of this guard came first, any guard could take the slots without their keys.
func (o *ownership) awaitTakeovers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	for o.state.OwnedSlots() > 0 && ctx.Err() == nil {
		wait.For(ctx, drainPollInterval)
	}
}

// move hands slots with their keys over to another guard and reports whether the guard
// accepted them. Only one move runs at a time, because two moves to the same guard could
// arrive out of order.
func (o *ownership) move(ctx context.Context, m lease.MoveSlots) bool {
	o.moveMu.Lock()
	defer o.moveMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	if resp, err := o.sendPromiseRequest(ctx, m.Addr, nil); err != nil || !resp.GetEligible() {
		return false
	}
	h := o.state.Release(o.server.node.Now(), m.Addr, m.Slots)
	if len(h.Slots) == 0 {
		return true
	}
	if err := o.send(ctx, m, h); err != nil {
		o.server.logger.Warn().Err(err).Str("to", m.To.Node).Msg("hand-over of slots to another guard failed; this guard claims the slots back")
		if t, ok := o.state.Reclaim(o.server.node.Now()); ok {
			o.appendTakeover(ctx, t.Record)
		}
		return false
	}
	o.server.node.Event(o.server.node.Now(), timeline.Event{Kind: timeline.HandedOver, Service: o.state.Local(), Upstream: m.To.Node, Detail: slotsDetail(m.Slots)})
	return true
}

// send waits for the running calls with keys of the slots. It then sends the keys in parts,
// and the slots with the last part.
func (o *ownership) send(ctx context.Context, m lease.MoveSlots, h lease.HandOver) error {
	match := o.state.InSlots(m.Slots)
	guard := o.server.node.Guard()
	for guard.KeysBusy(match) > 0 {
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "calls with keys of the slots are still running")
		}
		wait.For(ctx, drainPollInterval)
	}
	entries := guard.ExportKeys(o.server.node.Now(), match)
	for part := uint32(0); ; part++ {
		n := min(len(entries), maxPartEntries)
		req := &innerpb.HandOverRequest{
			From:    control.Ref(o.server.control.self()),
			Service: &innerpb.ServiceRef{Service: o.state.Local()},
			Part:    part,
			Last:    n == len(entries),
			Entries: encodeEntries(entries[:n]),
		}
		if req.Last {
			req.Slots = encodeSlots(h.Slots)
		}
		resp, err := o.client(m.Addr).HandOver(ctx, connect.NewRequest(req))
		if err != nil {
			return errors.Wrapf(err, "send part %d of the hand-over", part)
		}
		if !resp.Msg.GetAccepted() {
			return errors.Errorf("part %d of the hand-over was refused: %s", part, resp.Msg.GetDetail())
		}
		if req.Last {
			return nil
		}
		entries = entries[n:]
	}
}

// HandOver receives the keys and slots of another guard. When one part does not fit, the whole
// hand-over is refused: the missing keys would count as new here, and their calls could run
// again.
func (o *ownership) HandOver(_ context.Context, req *connect.Request[innerpb.HandOverRequest]) (*connect.Response[innerpb.HandOverResponse], error) {
	detail := o.acceptPart(control.IdentityOf(req.Msg.GetFrom()), req.Msg)
	return connect.NewResponse(&innerpb.HandOverResponse{
		From:     control.Ref(o.server.control.self()),
		Accepted: detail == "",
		Detail:   detail,
	}), nil
}

// acceptPart imports one part of a hand-over. It returns the reason for a refusal, or an empty
// string.
func (o *ownership) acceptPart(from membership.Identity, req *innerpb.HandOverRequest) (refusal string) {
	now := o.server.node.Now()
	service := o.state.Local()
	if service == "" || req.GetService().GetService() != service {
		return "this guard does not serve the service"
	}
	complete := o.server.node.Guard().ImportKeys(now, decodeEntries(service, req.GetEntries()))
	o.mu.Lock()
	if req.GetPart() == 0 {
		delete(o.incomplete, from)
	}
	if !complete {
		o.incomplete[from] = true
	}
	isIncomplete := o.incomplete[from]
	o.mu.Unlock()
	if isIncomplete {
		return "the key table has no room for all keys"
	}
	if !req.GetLast() {
		return ""
	}
	if !o.state.ImportedHandOver(now, lease.HandOver{From: from, Slots: decodeSlots(req.GetSlots())}) {
		return "this guard may not take slots yet"
	}
	o.requestPlan()
	return ""
}

func encodeSlots(slots []lease.HandedSlot) []*innerpb.HandedSlot {
	out := make([]*innerpb.HandedSlot, len(slots))
	for i, s := range slots {
		out[i] = &innerpb.HandedSlot{
			Slot:          uint32(s.Slot),
			Offset:        s.Offset,
			EffectiveInUs: s.EffectiveIn.Microseconds(),
			CleanInUs:     s.UnknownFor.Microseconds(),
		}
		if !s.UnknownBefore.IsZero() {
			out[i].UnknownBeforeUnixMicros = s.UnknownBefore.UnixMicro()
		}
	}
	return out
}

func decodeSlots(slots []*innerpb.HandedSlot) []lease.HandedSlot {
	out := make([]lease.HandedSlot, len(slots))
	for i, s := range slots {
		out[i] = lease.HandedSlot{
			Slot:        int(s.GetSlot()),
			Offset:      s.GetOffset(),
			EffectiveIn: time.Duration(s.GetEffectiveInUs()) * time.Microsecond,
			UnknownFor:  time.Duration(s.GetCleanInUs()) * time.Microsecond,
		}
		if us := s.GetUnknownBeforeUnixMicros(); us != 0 {
			out[i].UnknownBefore = time.UnixMicro(us)
		}
	}
	return out
}

func encodeEntries(entries []idempotency.Entry) []*innerpb.KeyEntry {
	out := make([]*innerpb.KeyEntry, len(entries))
	for i, e := range entries {
		k := &innerpb.KeyEntry{
			Workspace:   e.Key.Workspace,
			Key:         e.Key.Key,
			BodyHash:    e.BodyHash,
			CallId:      e.CallID,
			Code:        uint32(e.Code),
			IdleUs:      e.Idle.Microseconds(),
			AnswerAgeUs: e.ResponseAge.Microseconds(),
		}
		if e.Response != nil {
			k.HasAnswer = true
			k.HttpStatus = uint32(e.Response.Status)
			k.Body = e.Response.Body
			for name, values := range e.Response.Header {
				for _, v := range values {
					k.Header = append(k.Header, &innerpb.HeaderField{Name: name, Value: v})
				}
			}
		}
		out[i] = k
	}
	return out
}

func decodeEntries(service string, entries []*innerpb.KeyEntry) []idempotency.Entry {
	out := make([]idempotency.Entry, len(entries))
	for i, k := range entries {
		out[i] = idempotency.Entry{
			Key:         idempotency.Key{Workspace: k.GetWorkspace(), Service: service, Key: k.GetKey()},
			BodyHash:    k.GetBodyHash(),
			CallID:      k.GetCallId(),
			Code:        result.Code(k.GetCode()),
			Idle:        time.Duration(k.GetIdleUs()) * time.Microsecond,
			ResponseAge: time.Duration(k.GetAnswerAgeUs()) * time.Microsecond,
		}
		if k.GetHasAnswer() {
			out[i].Response = decodeResponse(k)
		}
	}
	return out
}

// decodeResponse returns the stored response of a key.
func decodeResponse(k *innerpb.KeyEntry) *idempotency.Response {
	header := make(map[string][]string, len(k.GetHeader()))
	for _, f := range k.GetHeader() {
		header[f.GetName()] = append(header[f.GetName()], f.GetValue())
	}
	return &idempotency.Response{
		Code:   result.Code(k.GetCode()),
		Status: int(k.GetHttpStatus()),
		Header: header,
		Body:   k.GetBody(),
	}
}
