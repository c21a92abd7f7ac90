// Package bench runs small deployments of real nodes on loopback, puts them
// under load and faults, and measures what callers got. Scenarios are data.
package bench

import (
	"math"
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/standin/upstream"
)

// Service is one service of a deployment.
type Service struct {
	Name        string
	Upstreams   int
	Slots       int
	Connections int
	Operations  map[string]upstream.Operation
}

// Request is one kind of request that callers make.
type Request struct {
	Name, Service, Method, Path string
	// Share of the arrivals.
	Share float64
}

// Keyed reports whether the request must run at most once.
func (r Request) Keyed() bool { return r.Method == "POST" }

// Deployment is one user's services and callers.
type Deployment struct {
	Name, Region           string
	Zones                  []string
	ZoneDelay, ClientDelay time.Duration
	Services               []Service
	Mix                    []Request
	// LevelShares are the shares of arrivals by level.
	LevelShares [callctx.Levels]float64
	Worth       [callctx.Levels]float64
	// SteadyLoad is the share of capacity offered in ordinary times.
	SteadyLoad float64
}

// Deepest returns the service that the chains end in.
func (d *Deployment) Deepest() string { return d.Services[len(d.Services)-1].Name }

const (
	get  = "GET"
	post = "POST"
)

// Chikugo is the employment verification bureau: goodput counts first.
func Chikugo() *Deployment {
	return &Deployment{
		Name: "chikugo", Region: "kyushu",
		Zones:     []string{"kurume", "saga", "omuta", "yame"},
		ZoneDelay: 500 * time.Microsecond, ClientDelay: 3 * time.Millisecond,
		Services: []Service{
			{Name: "letters", Upstreams: 4, Slots: 180, Connections: 1200, Operations: map[string]upstream.Operation{
				"/issue": {Mean: 20 * time.Millisecond, Steps: []upstream.Step{
					{Service: "consent", Method: post, Path: "/record"},
					{Service: "archive", Method: get, Path: "/search"},
				}},
			}},
			{Name: "consent", Upstreams: 4, Slots: 180, Connections: 1200, Operations: map[string]upstream.Operation{
				"/record": {Mean: 20 * time.Millisecond},
			}},
			{Name: "archive", Upstreams: 5, Slots: 150, Connections: 1000, Operations: map[string]upstream.Operation{
				"/search": {Mean: 15 * time.Millisecond, Steps: []upstream.Step{{Service: "tracker", Method: get, Path: "/track"}}},
			}},
			{Name: "tracker", Upstreams: 4, Slots: 25, Connections: 250, Operations: map[string]upstream.Operation{
				"/track": {Mean: 80 * time.Millisecond},
			}},
		},
		Mix: []Request{
			{Name: "check", Service: "archive", Method: get, Path: "/search", Share: 0.75},
			{Name: "letter", Service: "letters", Method: post, Path: "/issue", Share: 0.15},
			{Name: "consent", Service: "consent", Method: post, Path: "/record", Share: 0.10},
		},
		LevelShares: [callctx.Levels]float64{0.15, 0.25, 0.40, 0.20},
		Worth:       [callctx.Levels]float64{8, 4, 2, 1},
		SteadyLoad:  0.7,
	}
}

// Yardstick is the dinghy handicap authority: worth and recovery count first.
func Yardstick() *Deployment {
	return &Deployment{
		Name: "yardstick", Region: "ga-north",
		Zones:     []string{"lanier-a", "allatoona-b", "hartwell-c"},
		ZoneDelay: time.Millisecond, ClientDelay: 8 * time.Millisecond,
		Services: []Service{
			{Name: "certify", Upstreams: 3, Slots: 160, Connections: 1100, Operations: map[string]upstream.Operation{
				"/certificate": {Mean: 25 * time.Millisecond, Steps: []upstream.Step{{Service: "archive", Method: get, Path: "/hull"}}},
			}},
			{Name: "scoring", Upstreams: 3, Slots: 160, Connections: 1100, Operations: map[string]upstream.Operation{
				"/result": {Mean: 15 * time.Millisecond, Steps: []upstream.Step{{Service: "ratings", Method: get, Path: "/rating"}}},
			}},
			{Name: "archive", Upstreams: 4, Slots: 120, Connections: 800, Operations: map[string]upstream.Operation{
				"/hull": {Mean: 15 * time.Millisecond, Steps: []upstream.Step{{Service: "ratings", Method: get, Path: "/rating"}}},
			}},
			{Name: "ratings", Upstreams: 3, Slots: 25, Connections: 250, Operations: map[string]upstream.Operation{
				"/rating": {Mean: 80 * time.Millisecond},
			}},
		},
		Mix: []Request{
			{Name: "rating", Service: "archive", Method: get, Path: "/hull", Share: 0.60},
			{Name: "result", Service: "scoring", Method: post, Path: "/result", Share: 0.25},
			{Name: "certificate", Service: "certify", Method: post, Path: "/certificate", Share: 0.15},
		},
		LevelShares: [callctx.Levels]float64{0.20, 0.25, 0.35, 0.20},
		Worth:       [callctx.Levels]float64{20, 6, 2, 1},
		SteadyLoad:  0.7,
	}
}

// Deployments returns both users' deployments.
func Deployments() []*Deployment { return []*Deployment{Chikugo(), Yardstick()} }

func (d *Deployment) service(name string) *Service {
	i := slices.IndexFunc(d.Services, func(s Service) bool { return s.Name == name })
	return &d.Services[i]
}

// hold returns how long one request of that path occupies a slot of its own
// service, and adds what it occupies of every service to use, in seconds.
func (d *Deployment) hold(service, path string, slowdown map[string]float64, use map[string]float64) float64 {
	op := d.service(service).Operations[path]
	t := op.Mean.Seconds() * factor(slowdown, service)
	for _, step := range op.Steps {
		t += d.hold(step.Service, step.Path, slowdown, use)
	}
	use[service] += t
	return t
}

func factor(slowdown map[string]float64, service string) float64 {
	if f, ok := slowdown[service]; ok {
		return f
	}
	return 1
}

// Capacity returns how many requests a second the upstreams could serve out of
// the rates offered of each kind: kinds that need least of the scarcest
// service come first. gone is the share of each service's upstreams that are
// away.
func (d *Deployment) Capacity(offered map[string]float64, slowdown, gone map[string]float64) float64 {
	room := map[string]float64{}
	for _, s := range d.Services {
		room[s.Name] = float64(s.Upstreams*s.Slots) * (1 - gone[s.Name])
	}
	type kind struct {
		rate, most float64
		use        map[string]float64
	}
	var kinds []kind
	for _, r := range d.Mix {
		k := kind{rate: offered[r.Name], use: map[string]float64{}}
		d.hold(r.Service, r.Path, slowdown, k.use)
		for s, u := range k.use {
			k.most = max(k.most, u/room[s])
		}
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, func(a, b kind) int { return int(math.Copysign(1, a.most-b.most)) })
	served := 0.0
	for _, k := range kinds {
		rate := k.rate
		for s, u := range k.use {
			rate = min(rate, room[s]/u)
		}
		for s, u := range k.use {
			room[s] = max(0, room[s]-rate*u)
		}
		served += rate
	}
	return served
}

// FullCapacity is the rate in the deployment's mix at which the scarcest
// service is busy all the time.
func (d *Deployment) FullCapacity() float64 {
	use := map[string]float64{}
	for _, r := range d.Mix {
		one := map[string]float64{}
		d.hold(r.Service, r.Path, nil, one)
		for s, u := range one {
			use[s] += r.Share * u
		}
	}
	least := math.Inf(1)
	for s, u := range use {
		svc := d.service(s)
		least = min(least, float64(svc.Upstreams*svc.Slots)/u)
	}
	return least
}
