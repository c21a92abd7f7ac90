package overview

import (
	"hash/fnv"
	"math/bits"
	"time"
)

// maxFilterBytes bounds a ServiceFilter in bytes.
const maxFilterBytes = 2 * MaxServices

// ServiceFilter is a set of services as a bitmap over a hash of their names, with a power of two of bytes. It may
// contain services that were not added. An empty one contains all.
type ServiceFilter []byte

// newServiceFilter returns an empty set with room for a number of services.
func newServiceFilter(services int) ServiceFilter {
	return make(ServiceFilter, 1<<bits.Len(uint(max(min(services, maxFilterBytes)-1, 0))))
}

func (f ServiceFilter) place(service string) (index uint32, mask byte) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(service)) // returns no error
	bit := h.Sum32() % uint32(8*len(f))
	return bit / 8, 1 << (bit % 8)
}

func (f ServiceFilter) add(service string) {
	i, mask := f.place(service)
	f[i] |= mask
}

func (f ServiceFilter) contains(service string) bool {
	if len(f) == 0 {
		return true
	}
	i, mask := f.place(service)
	return f[i]&mask != 0
}

func (f ServiceFilter) validate() error {
	if len(f) > maxFilterBytes || len(f) > 0 && bits.OnesCount(uint(len(f))) != 1 {
		return &FieldError{"used", len(f), "a power of two of bytes, at most 4096"}
	}
	return nil
}

// SumFor returns the sum of the own zone for the collector of another zone, without the services that the
// other zone neither calls nor serves by its last sum. All are in it if none is held.
func (c *Collector) SumFor(zone string, now time.Time) (sum Zone, known bool) {
	sum, known = c.Sum(now)
	if !known {
		return sum, false
	}
	sum.Used = sum.used()
	return sum.within(c.zones[zone].Used), true
}

// used returns the services that the nodes of a zone call or serve.
func (z *Zone) used() ServiceFilter {
	f := newServiceFilter(len(z.Calls) + len(z.Services))
	for i := range z.Calls {
		f.add(z.Calls[i].Service)
	}
	for i := range z.Services {
		f.add(z.Services[i].Service)
	}
	return f
}

// within returns the sum with the services in a set only.
func (z *Zone) within(f ServiceFilter) Zone {
	out := *z
	out.Calls, out.Services = nil, nil
	for _, c := range z.Calls {
		if f.contains(c.Service) {
			out.Calls = append(out.Calls, c)
		}
	}
	for i := range z.Services {
		if f.contains(z.Services[i].Service) {
			out.Services = append(out.Services, z.Services[i])
		}
	}
	return out
}
