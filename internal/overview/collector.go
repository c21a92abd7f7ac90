package overview

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// reportLifetime is the number of its intervals for which a report counts.
	reportLifetime = 3
	// minReportInterval and reportsPerSecond set the interval of reports: a collector answers at most
	// reportsPerSecond of them.
	minReportInterval = 500 * time.Millisecond
	reportsPerSecond  = 200
	// minZoneInterval and zonesPerSecond set the interval at which two zones exchange their sums: a
	// collector sends at most zonesPerSecond of them.
	minZoneInterval = time.Second
	zonesPerSecond  = 8
	// zoneLifetime is the number of its intervals for which a zone's sum counts.
	zoneLifetime = 3
	// sumsPerInterval is how often a collector adds its reports up in each interval of reports.
	sumsPerInterval = 4
)

var (
	// ErrOutdated is returned for a report or a sum that is not newer than the one held.
	ErrOutdated = errors.New("overview: a newer message of the sender is known")
	// ErrOtherZone is returned for a report of a node of another zone, and for a sum of the own zone.
	ErrOtherZone = errors.New("overview: message is meant for another zone")
	// ErrFull is returned if there are more nodes or zones than a collector holds.
	ErrFull = errors.New("overview: no room for further senders")
)

// ReportInterval returns the time between two reports of a node, by the number of nodes in its zone.
func ReportInterval(nodes int) time.Duration {
	return min(max(minReportInterval, time.Duration(nodes)*time.Second/reportsPerSecond), maxInterval/reportLifetime)
}

// maxReportBytes is the rate in bytes per second that a node may spend on reports and their answers.
const maxReportBytes = 2000

// PacedInterval returns the time until the next report of a node by the number of nodes in its zone and the
// bytes of its last report with the answer. It is at most 3/2 of ReportInterval, the time that a new collector
// waits for the reports of all nodes.
func PacedInterval(nodes, bytes int) time.Duration {
	interval := ReportInterval(nodes)
	return max(interval, min(time.Duration(bytes)*time.Second/maxReportBytes, interval*3/2))
}

// ZoneInterval returns the time between two exchanges of the sums of two zones, by the number of zones.
func ZoneInterval(zones int) time.Duration {
	return min(max(minZoneInterval, time.Duration(zones)*time.Second/zonesPerSecond), maxInterval/zoneLifetime)
}

// Collector adds up the reports of the nodes of a zone and holds the sums of the other zones. It is
// not safe for concurrent use.
//
// Load pattern: demand moves between zones and between entry nodes within seconds, and none of them
// sees enough of it to tell a shift from an increase.
type Collector struct {
	zone    string
	reports map[string]heldReport
	zones   map[string]heldZone
	// collectingSince is the time of the first report after a time without reports.
	collectingSince time.Time
	lastReport      time.Time
	// interval is the interval of the last report.
	interval time.Duration
	ignored  int64

	// sums is recomputed at most sumsPerInterval times in each interval.
	sums   *sums
	sumsAt time.Time
}

type heldReport struct {
	Report
	receivedAt time.Time
}

type heldZone struct {
	Zone
	// madeAt is the time at which the sum was made, by this node's clock.
	madeAt time.Time
}

// NewCollector returns the collector of a zone.
func NewCollector(zone string) *Collector {
	return &Collector{zone: zone, reports: map[string]heldReport{}, zones: map[string]heldZone{}}
}

// Add adds a node's report. The report must not be modified afterwards. It returns an error for a
// report that is invalid or not newer than the node's last one.
func (c *Collector) Add(now time.Time, r *Report) error {
	err := c.checkReport(now, r)
	if err != nil {
		c.ignored++
		return err
	}
	interval := time.Duration(r.IntervalMillis) * time.Millisecond
	if now.Sub(c.lastReport) > reportLifetime*interval {
		c.collectingSince = now
	}
	c.lastReport, c.interval = now, interval
	c.reports[r.Node] = heldReport{*r, now}
	return nil
}

func (c *Collector) checkReport(now time.Time, r *Report) error {
	if err := r.Validate(now); err != nil {
		return err
	}
	if r.Zone != c.zone {
		return ErrOtherZone
	}
	held, known := c.reports[r.Node]
	if known && cmp.Or(cmp.Compare(r.Incarnation, held.Incarnation), cmp.Compare(r.Sequence, held.Sequence)) <= 0 {
		return ErrOutdated
	}
	if !known && len(c.reports) >= MaxNodes {
		c.dropOld(now)
		if len(c.reports) >= MaxNodes {
			return ErrFull
		}
	}
	return nil
}

// AddZone adds the sum of another zone. It must not be modified afterwards. It returns an error for a
// sum that is invalid or older than the one held.
func (c *Collector) AddZone(now time.Time, z *Zone) error {
	madeAt := now.Add(-time.Duration(z.AgeMillis) * time.Millisecond)
	err := c.checkZone(z, madeAt)
	if err != nil {
		c.ignored++
		return err
	}
	c.zones[z.Name] = heldZone{*z, madeAt}
	return nil
}

func (c *Collector) checkZone(z *Zone, madeAt time.Time) error {
	if err := z.Validate(); err != nil {
		return err
	}
	if z.Name == c.zone {
		return ErrOtherZone
	}
	held, known := c.zones[z.Name]
	if known && madeAt.Before(held.madeAt) {
		return ErrOutdated
	}
	if !known && len(c.zones) >= MaxZones-1 {
		return ErrFull
	}
	return nil
}

// Refuse counts a message that could not be decoded.
func (c *Collector) Refuse() { c.ignored++ }

// Ignored returns the number of messages that were ignored so far.
func (c *Collector) Ignored() int64 { return c.ignored }

// Collecting reports whether nodes report to this collector.
func (c *Collector) Collecting(now time.Time) bool {
	return !c.lastReport.IsZero() && now.Sub(c.lastReport) <= reportLifetime*c.interval
}

// complete reports whether the nodes had time to report since the collector started: a sum of a few of
// them would be taken for a zone with little demand and little room.
func (c *Collector) complete(now time.Time) bool {
	return c.Collecting(now) && now.Sub(c.collectingSince) >= c.interval*3/2
}

// Sum returns the sum of the own zone for the collectors of other zones. known is false until all
// nodes of the zone had time to report.
func (c *Collector) Sum(now time.Time) (sum Zone, known bool) {
	if !c.complete(now) {
		return Zone{}, false
	}
	c.refresh(now)
	sum = c.sums.own
	sum.AgeMillis = now.Sub(c.sumsAt).Milliseconds()
	return sum, true
}

// Answer returns the view for a node: what concerns the workspaces and services in its report.
func (c *Collector) Answer(now time.Time, r *Report) *View {
	c.refresh(now)
	return c.sums.answer(now, r)
}

// View returns all that the collector knows.
func (c *Collector) View(now time.Time) *View {
	c.refresh(now)
	return c.sums.all(now)
}

func (c *Collector) refresh(now time.Time) {
	if c.sums != nil && now.Sub(c.sumsAt) < c.interval/sumsPerInterval {
		return
	}
	c.dropOld(now)
	var zones []heldZone
	for _, z := range c.zones {
		zones = append(zones, z)
	}
	if c.complete(now) {
		zones = append(zones, heldZone{c.sumReports(), now})
	}
	slices.SortFunc(zones, func(a, b heldZone) int { return strings.Compare(a.Name, b.Name) })
	c.sums, c.sumsAt = newSums(c.zone, zones), now
}

// sumReports adds the reports up in the order of their nodes, so that the result doesn't depend on the
// order in which they came.
func (c *Collector) sumReports() Zone {
	reports := make([]*Report, 0, len(c.reports))
	for _, node := range slices.Sorted(maps.Keys(c.reports)) {
		r := c.reports[node].Report
		reports = append(reports, &r)
	}
	return sumReports(c.zone, reports)
}

// dropOld drops reports and sums that no longer count.
func (c *Collector) dropOld(now time.Time) {
	maps.DeleteFunc(c.reports, func(_ string, r heldReport) bool {
		return now.Sub(r.receivedAt) > reportLifetime*time.Duration(r.IntervalMillis)*time.Millisecond
	})
	lifetime := zoneLifetime * ZoneInterval(len(c.zones)+1)
	maps.DeleteFunc(c.zones, func(_ string, z heldZone) bool { return now.Sub(z.madeAt) > lifetime })
}
