package bench

import (
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/policy"
	"github.com/galenagrade/galenagrade/internal/server"
	"github.com/galenagrade/galenagrade/internal/standin/logd"
)

// controlCounts is where all counters stand at a moment.
type controlCounts struct {
	at                             time.Time
	cpu                            time.Duration
	peerBytes, packets, dials, log int64
	stats                          server.ControlStats
}

func (w *controlWorld) counts() controlCounts {
	c := controlCounts{
		at: time.Now(), cpu: processTime(),
		peerBytes: w.peers.bytes.Load(), packets: w.peers.packets.Load(), dials: w.peers.dials.Load(),
		log: w.logs.bytes.Load(),
	}
	for _, n := range w.nodes {
		s := n.ControlStats()
		c.stats.Exchanges += s.Exchanges
		c.stats.Probes += s.Probes
		c.stats.Gossips += s.Gossips
		c.stats.Fetches += s.Fetches
		c.stats.Reads += s.Reads
		c.stats.Appends += s.Appends
	}
	return c
}

// atRest measures nodes that nothing happens to but a change now and then.
func (w *controlWorld) atRest() ControlResult {
	before := w.counts()
	end := time.NewTimer(w.opts.Duration)
	defer end.Stop()
	every := w.opts.ChangeEvery
	if every <= 0 {
		every = 2 * w.opts.Duration
	}
	t := time.NewTicker(every)
	defer t.Stop()
	sample := time.NewTicker(proofSample)
	defer sample.Stop()
	var ages []time.Duration
	for running := true; running; {
		select {
		case <-sample.C:
			for _, n := range w.nodes {
				ages = append(ages, n.ControlStats().HeadAge)
			}
		case <-t.C:
			_, _ = w.publish()
		case <-end.C:
			running = false
		}
	}
	r := w.result(before, w.counts())
	slices.Sort(ages)
	if len(ages) > 0 {
		r.ProofAge = float64(ages[len(ages)/2].Microseconds()) / 1000
		r.ProofOldest = float64(ages[len(ages)-1].Microseconds()) / 1000
	}
	return r
}

// proofSample is the time between two looks at the age of all proofs; it is no
// multiple of the exchange's period.
const proofSample = 330 * time.Millisecond

func (w *controlWorld) result(a, b controlCounts) ControlResult {
	seconds := b.at.Sub(a.at).Seconds()
	perNode := seconds * float64(w.opts.Members)
	sent := float64(b.peerBytes-a.peerBytes) / perNode
	packets := float64(b.packets-a.packets) / perNode
	messages := b.stats.Exchanges + b.stats.Probes + b.stats.Gossips + b.stats.Fetches
	messages -= a.stats.Exchanges + a.stats.Probes + a.stats.Gossips + a.stats.Fetches
	heap, resident := memory()
	return ControlResult{
		Members: w.opts.Members, Zones: w.opts.Zones,
		SentBytes: sent, WireBytes: 2 * sent,
		PacketBytes: 2 * (sent + 2*packetBytes*packets),
		LogBytes:    float64(b.log-a.log) / perNode,
		Messages:    float64(messages) / perNode,
		Exchanges:   float64(b.stats.Exchanges-a.stats.Exchanges) / perNode,
		Probes:      float64(b.stats.Probes-a.stats.Probes) / perNode,
		Dials:       float64(b.dials-a.dials) / perNode,
		LogReads:    float64(b.stats.Reads-a.stats.Reads) / seconds,
		LogAppends:  float64(b.stats.Appends-a.stats.Appends) / seconds,
		CPU:         100 * (b.cpu - a.cpu).Seconds() / perNode,
		HeapBytes:   heap / float64(w.opts.Members),
		Resident:    resident / float64(w.opts.Members),
	}
}

// timeChanges times publications with the log up, then with the log out as
// soon as one node has them.
func (w *controlWorld) timeChanges(r *ControlResult) error {
	for range w.opts.Changes {
		took, err := w.timeChange(false)
		if err != nil {
			return errors.Wrap(err, "log up")
		}
		r.Accepted = append(r.Accepted, took)
	}
	for range w.opts.Changes {
		took, err := w.timeChange(true)
		if err != nil {
			return errors.Wrap(err, "log out")
		}
		r.AcceptedOut = append(r.AcceptedOut, took)
		w.log.Update(func(k *logd.Knobs) { k.Outage = false })
		time.Sleep(controlSettle / 4)
	}
	return nil
}

func (w *controlWorld) timeChange(outage bool) (float64, error) {
	if outage {
		// Every reader's long poll is shaken off first, so that not all of
		// them are answered by the append itself.
		w.log.Update(func(k *logd.Knobs) { k.Outage = true })
		time.Sleep(50 * time.Millisecond)
		w.log.Update(func(k *logd.Knobs) { k.Outage = false })
	}
	version, err := w.publish()
	if err != nil {
		return 0, err
	}
	began := time.Now()
	if outage {
		if err := w.await("first node", func() bool { return w.having(version) > 0 }); err != nil {
			return 0, err
		}
		w.log.Update(func(k *logd.Knobs) { k.Outage = true })
		began = time.Now()
	}
	err = w.await("last node", func() bool { return w.having(version) == len(w.nodes) })
	return float64(time.Since(began).Microseconds()) / 1000, err
}

// having counts the nodes that have a version in force.
func (w *controlWorld) having(v policy.Version) int {
	count := 0
	for _, n := range w.nodes {
		if n.Node().Policy().Version() >= v {
			count++
		}
	}
	return count
}

func processTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memory returns the live heap and the resident set, in bytes.
func memory() (heap, resident float64) {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return float64(m.HeapAlloc), 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return float64(m.HeapAlloc), 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return float64(m.HeapAlloc), pages * float64(os.Getpagesize())
}
