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

// controlCounts is a snapshot of all counters, summed over the nodes. peerBytes and
// logBytes are the bytes on the connections between nodes and to the log.
type controlCounts struct {
	at                                  time.Time
	cpu                                 time.Duration
	peerBytes, packets, dials, logBytes int64
	stats                               server.ControlStats
}

func (w *controlWorld) counts() controlCounts {
	c := controlCounts{
		at: time.Now(), cpu: processTime(),
		peerBytes: w.peerTraffic.bytes.Load(), packets: w.peerTraffic.packets.Load(), dials: w.peerTraffic.dials.Load(),
		logBytes: w.logTraffic.bytes.Load(),
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

// measureIdle measures the nodes for Duration. The only activity is a publication every
// ChangeEvery.
func (w *controlWorld) measureIdle() ControlResult {
	before := w.counts()
	end := time.NewTimer(w.opts.Duration)
	defer end.Stop()
	changeInterval := w.opts.ChangeEvery
	if changeInterval <= 0 {
		changeInterval = 2 * w.opts.Duration
	}
	changes := time.NewTicker(changeInterval)
	defer changes.Stop()
	sample := time.NewTicker(headAgeSamplePeriod)
	defer sample.Stop()
	var ages []time.Duration
	for running := true; running; {
		select {
		case <-sample.C:
			for _, n := range w.nodes {
				ages = append(ages, n.ControlStats().HeadAge)
			}
		case <-changes.C:
			_, _ = w.publish()
		case <-end.C:
			running = false
		}
	}
	r := w.result(before, w.counts())
	slices.Sort(ages)
	if len(ages) > 0 {
		r.HeadAge = float64(ages[len(ages)/2].Microseconds()) / 1000
		r.MaxHeadAge = float64(ages[len(ages)-1].Microseconds()) / 1000
	}
	return r
}

// headAgeSamplePeriod is the interval between two samples of the head age of all
// nodes. It is no multiple of the exchange period: otherwise every sample would be
// taken at the same time after an exchange.
const headAgeSamplePeriod = 330 * time.Millisecond

func (w *controlWorld) result(before, after controlCounts) ControlResult {
	seconds := after.at.Sub(before.at).Seconds()
	perNode := seconds * float64(w.opts.Members)
	sent := float64(after.peerBytes-before.peerBytes) / perNode
	packets := float64(after.packets-before.packets) / perNode
	messages := after.stats.Exchanges + after.stats.Probes + after.stats.Gossips + after.stats.Fetches
	messages -= before.stats.Exchanges + before.stats.Probes + before.stats.Gossips + before.stats.Fetches
	heap, resident := memory()
	return ControlResult{
		Members: w.opts.Members, Zones: w.opts.Zones,
		SentBytes: sent, WireBytes: 2 * sent,
		PacketBytes: 2 * (sent + 2*packetHeaderBytes*packets),
		LogBytes:    float64(after.logBytes-before.logBytes) / perNode,
		Messages:    float64(messages) / perNode,
		Exchanges:   float64(after.stats.Exchanges-before.stats.Exchanges) / perNode,
		Probes:      float64(after.stats.Probes-before.stats.Probes) / perNode,
		Dials:       float64(after.dials-before.dials) / perNode,
		LogReads:    float64(after.stats.Reads-before.stats.Reads) / seconds,
		LogAppends:  float64(after.stats.Appends-before.stats.Appends) / seconds,
		CPU:         100 * (after.cpu - before.cpu).Seconds() / perNode,
		HeapBytes:   heap / float64(w.opts.Members),
		Resident:    resident / float64(w.opts.Members),
	}
}

// timeChanges times publications with the log up, then with an outage of the log that
// begins as soon as the first node applies the change.
func (w *controlWorld) timeChanges(r *ControlResult) error {
	for range w.opts.Changes {
		took, err := w.timeChange(false)
		if err != nil {
			return errors.Wrap(err, "time a change with the log up")
		}
		r.ApplyMillisLogUp = append(r.ApplyMillisLogUp, took)
	}
	for range w.opts.Changes {
		took, err := w.timeChange(true)
		if err != nil {
			return errors.Wrap(err, "time a change during a log outage")
		}
		r.ApplyMillisLogOut = append(r.ApplyMillisLogOut, took)
		w.log.Update(func(k *logd.Knobs) { k.Outage = false })
		time.Sleep(controlQuietPeriod / 4)
	}
	return nil
}

func (w *controlWorld) timeChange(outage bool) (float64, error) {
	if outage {
		// A short outage ends the long polls of all readers first. Otherwise the
		// append itself would complete all of them, and every reader would have the
		// change before the outage.
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
		if err := w.await("the first node to apply the change", func() bool { return w.nodesAtVersion(version) > 0 }); err != nil {
			return 0, err
		}
		w.log.Update(func(k *logd.Knobs) { k.Outage = true })
		began = time.Now()
	}
	err = w.await("the last node to apply the change", func() bool { return w.nodesAtVersion(version) == len(w.nodes) })
	return float64(time.Since(began).Microseconds()) / 1000, err
}

// nodesAtVersion returns the number of nodes that apply version v or a newer one.
func (w *controlWorld) nodesAtVersion(v policy.Version) int {
	count := 0
	for _, n := range w.nodes {
		if n.Node().Policy().Version() >= v {
			count++
		}
	}
	return count
}

// processTime returns the CPU time of this process, user and system; 0 on failure.
func processTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memory returns the live heap and the resident set, in bytes. The resident set is 0
// when it can't be read.
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
