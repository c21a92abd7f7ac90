package bench

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/control"
	"github.com/galenagrade/galenagrade/internal/lease"
	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/membership"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/policy"
	"github.com/galenagrade/galenagrade/internal/routing"
)

// StateOptions is the size of the system whose replicated state is measured.
type StateOptions struct {
	Members, Services, Zones int
}

// StateResult is the memory that one node needs for the replicated state, in bytes
// of live heap, and the time to fold it from the log, in milliseconds.
type StateResult struct {
	StateOptions
	Records         int   `json:"records"`
	ReplicaBytes    int64 `json:"replica_bytes"`
	OwnershipBytes  int64 `json:"ownership_bytes"`
	TableBytes      int64 `json:"routing_table_bytes"`
	FoldMillis      int64 `json:"fold_ms"`
	OwnershipMillis int64 `json:"ownership_fold_ms"`
	TableMillis     int64 `json:"routing_table_ms"`
}

// MeasureState generates the log of a system of the size in opts and folds it, that
// is, applies its records in order, as one node does. The log contains all instances,
// all members, and takeovers of every service's key slots.
func MeasureState(opts StateOptions) (StateResult, error) {
	out := StateResult{StateOptions: opts}
	entries, err := stateLog(opts)
	if err != nil {
		return out, err
	}
	out.Records = len(entries)
	page := logstore.Page{Entries: entries, Next: int64(len(entries)), Head: int64(len(entries))}
	now := time.Now()

	base := liveHeap()
	replica := control.NewReplica()
	began := time.Now()
	replica.Take(now, page)
	out.FoldMillis = time.Since(began).Milliseconds()
	out.ReplicaBytes = liveHeap() - base

	base = liveHeap()
	own := control.NewOwnership(lease.DefaultConfig(), node.Identity{Node: "m0", Incarnation: 1, InnerAddr: memberAddr(0)})
	began = time.Now()
	own.Apply(now, entries)
	out.OwnershipMillis = time.Since(began).Milliseconds()
	out.OwnershipBytes = liveHeap() - base

	base = liveHeap()
	endpoints := control.Endpoints(replica.Members(), func(membership.Identity) bool { return false })
	began = time.Now()
	table := routing.NewTable(nil, routing.DefaultConfig(), routing.Self{Node: "m0", Region: "r0", Zone: "z0"}, endpoints, now)
	out.TableMillis = time.Since(began).Milliseconds()
	out.TableBytes = liveHeap() - base
	if got := len(replica.Policy().Instances()); got != opts.Services {
		return out, errors.Errorf("policy replica holds %d accepted instances, want %d", got, opts.Services)
	}
	runtime.KeepAlive(table)
	runtime.KeepAlive(own)
	runtime.KeepAlive(entries)
	return out, nil
}

// liveHeap returns the bytes of heap objects that remain after two garbage collections.
func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func memberAddr(i int) string { return fmt.Sprintf("10.%d.%d.%d:7100", i>>16, i>>8&255, i&255) }

// stateLog returns the log of a system of the size in opts, after all nodes have
// joined and own their slots.
func stateLog(opts StateOptions) ([]logstore.Entry, error) {
	var entries []logstore.Entry
	var firstErr error
	add := func(rec logstore.Record, err error) {
		if err != nil && firstErr == nil {
			firstErr = err
		}
		entries = append(entries, logstore.Entry{Offset: int64(len(entries)), Record: rec})
	}
	record := func(kind logstore.Kind, body any) {
		raw, err := json.Marshal(body)
		add(logstore.Record{ID: fmt.Sprintf("r%d", len(entries)), Kind: kind, Body: raw}, err)
	}
	for _, t := range policy.Library() {
		add((&policy.Publication{ID: "template-" + t.Name, Author: "bench", Template: &t}).Record(time.Unix(0, 0)))
	}
	for s := range opts.Services {
		i := policy.Instance{Workspace: fmt.Sprintf("w%d", s%40), Service: serviceName(s), Template: "balanced", Revision: 1}
		add((&policy.Publication{ID: "i" + i.Service, Author: "bench", Instance: &i}).Record(time.Unix(0, 0)))
	}
	for m := range opts.Members {
		record(logstore.KindJoin, membership.Join{Member: membership.Member{
			Identity: membership.Identity{Node: fmt.Sprintf("m%d", m), Incarnation: 1},
			Region:   fmt.Sprintf("r%d", m%opts.Zones%11), Zone: fmt.Sprintf("z%d", m%opts.Zones),
			Service: serviceName(m % opts.Services), InnerAddr: memberAddr(m), AdminAddr: memberAddr(m),
			Slots: 100, Connections: 1000, JoinedAt: time.Unix(0, 0).UTC(),
		}})
	}
	for s := range opts.Services {
		for m := s; m < opts.Members; m += opts.Services {
			t := lease.Takeover{
				Service: serviceName(s), NewOwner: membership.Identity{Node: fmt.Sprintf("m%d", m), Incarnation: 1},
				Addr: memberAddr(m), Folded: int64(len(entries)),
			}
			perService := opts.Members/opts.Services + 1
			for slot := m / opts.Services; slot < lease.DefaultConfig().Slots; slot += perService {
				t.Slots = append(t.Slots, slot)
			}
			record(logstore.KindTakeover, t)
		}
	}
	return entries, firstErr
}

func serviceName(s int) string { return fmt.Sprintf("service-%d", s) }
