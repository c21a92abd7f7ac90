package speed

import (
	"math"
	"time"

	"github.com/galenagrade/galenagrade/internal/overview"
)

const (
	// Min and Max bound a speed.
	Min = 0.25
	Max = 4
	// Unknown is the speed of an upstream that was not measured. It counts as 1.
	Unknown = 0
	// MaxAge is the age up to which the mean service times of a service are used. A newer
	// speed needs newer means, since both drift with the calls.
	MaxAge = 10 * time.Second

	// normalMin and normalMax bound the speeds that operators need not know of, and backMin and
	// backMax those at which a speed that was beyond them is normal again.
	normalMin, normalMax = 0.7, 1.4
	backMin, backMax     = 0.8, 1.25
)

// Clamp returns s between Min and Max, and Unknown for what is no speed: 0, negative or not a number.
func Clamp(s float64) float64 {
	if math.IsNaN(s) || s <= 0 {
		return Unknown
	}
	return min(max(s, Min), Max)
}

// IsNormal reports whether operators need not know of a speed. wasNormal is what it reported last: a
// speed near a bound doesn't change it again and again.
func IsNormal(s float64, wasNormal bool) bool {
	if wasNormal {
		return s == Unknown || s >= normalMin && s <= normalMax
	}
	return s == Unknown || s >= backMin && s <= backMax
}

// ServiceTimes returns the mean service times of a service by kind of call, over all zones of a view.
// Zones whose sums are older than MaxAge, and entries that are no service times, are left out.
func ServiceTimes(v *overview.View, service string) map[uint32]float64 {
	type sum struct{ calls, seconds float64 }
	sums := map[uint32]sum{}
	for i := range v.Zones {
		z := &v.Zones[i]
		if z.AgeMillis < 0 || z.AgeMillis > MaxAge.Milliseconds() {
			continue
		}
		for j := range z.Services {
			if z.Services[j].Service != service {
				continue
			}
			for _, k := range z.Services[j].Kinds {
				if usable(k) {
					s := sums[k.Kind]
					sums[k.Kind] = sum{s.calls + k.PerSecond, s.seconds + k.PerSecond*k.Seconds}
				}
			}
		}
	}
	means := make(map[uint32]float64, len(sums))
	for kind, s := range sums {
		means[kind] = s.seconds / s.calls
	}
	return means
}

func usable(k overview.KindTime) bool {
	return k.PerSecond > 0 && k.PerSecond < math.MaxFloat32 && k.Seconds > 0 && k.Seconds <= maxServiceTime.Seconds()
}
