// Package bench runs small deployments of real nodes on loopback, applies load and
// faults to them, and measures the outcome for the callers. Scenarios are declared as
// data.
package bench

import (
	"math"
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/standin/upstream"
)

// Service is one service of a deployment. Slots and Connections are per upstream.
type Service struct {
	Name        string
	Upstreams   int
	Slots       int
	Connections int
	// Operations maps the path of a request to how the service handles it.
	Operations map[string]upstream.Operation
}

// Request is one kind of request that callers make.
type Request struct {
	Name, Service, Method, Path string
	// Share is the share of all arrivals.
	Share float64
}

// Keyed reports whether the request carries an idempotency key, since it must run at
// most once.
func (r Request) Keyed() bool { return r.Method == "POST" }

// Deployment describes the services and callers of one user.
type Deployment struct {
	Name, Region string
	Zones        []string
	// ZoneDelay is the one-way delay between zones, ClientDelay that between callers
	// and zones.
	ZoneDelay, ClientDelay time.Duration
	Services               []Service
	Mix                    []Request
	// LevelShares are the shares of arrivals by priority level, Worth is the value of
	// one request by level.
	LevelShares [callctx.Levels]float64
	Worth       [callctx.Levels]float64
	// SteadyLoad is the steady load as a share of FullCapacity.
	SteadyLoad float64
}

// Deepest returns the name of the service at the end of the call chains.
func (d *Deployment) Deepest() string { return d.Services[len(d.Services)-1].Name }

const (
	get  = "GET"
	post = "POST"
)

// Chikugo returns the deployment of the employment verification bureau, whose main
// objective is goodput.
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

// Yardstick returns the deployment of the dinghy handicap authority, whose main
// objectives are worth-weighted goodput and recovery.
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

// Deployments returns the deployments of both users.
func Deployments() []*Deployment { return []*Deployment{Chikugo(), Yardstick()} }

func (d *Deployment) service(name string) *Service {
	i := slices.IndexFunc(d.Services, func(s Service) bool { return s.Name == name })
	return &d.Services[i]
}

// occupancy returns the time, in seconds, for which one request for path occupies a
// slot of its own service. It adds the slot seconds that the request uses at each
// service, calls to deeper services included, to use.
func (d *Deployment) occupancy(service, path string, slowdown map[string]float64, use map[string]float64) float64 {
	op := d.service(service).Operations[path]
	t := op.Mean.Seconds() * factor(slowdown, service)
	for _, step := range op.Steps {
		t += d.occupancy(step.Service, step.Path, slowdown, use)
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

// Capacity returns the number of requests per second that the upstreams can serve.
// offered is the rate of arrivals by kind of request. For each kind, the scarcest
// service is the one of which a request uses the highest share of the slots; kinds
// are served in ascending order of that share. lost is the share of each service's
// upstreams that are down; slowdown is the factor on its service times.
func (d *Deployment) Capacity(offered map[string]float64, slowdown, lost map[string]float64) float64 {
	available := map[string]float64{}
	for _, s := range d.Services {
		available[s.Name] = float64(s.Upstreams*s.Slots) * (1 - lost[s.Name])
	}
	type kind struct {
		rate, maxUse float64
		use          map[string]float64
	}
	var kinds []kind
	for _, r := range d.Mix {
		k := kind{rate: offered[r.Name], use: map[string]float64{}}
		d.occupancy(r.Service, r.Path, slowdown, k.use)
		for s, u := range k.use {
			k.maxUse = max(k.maxUse, u/available[s])
		}
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, func(a, b kind) int { return int(math.Copysign(1, a.maxUse-b.maxUse)) })
	served := 0.0
	for _, k := range kinds {
		rate := k.rate
		for s, u := range k.use {
			rate = min(rate, available[s]/u)
		}
		for s, u := range k.use {
			available[s] = max(0, available[s]-rate*u)
		}
		served += rate
	}
	return served
}

// FullCapacity returns the rate of requests, in the deployment's mix, at which all
// slots of the scarcest service are always in use.
func (d *Deployment) FullCapacity() float64 {
	use := map[string]float64{}
	for _, r := range d.Mix {
		perRequest := map[string]float64{}
		d.occupancy(r.Service, r.Path, nil, perRequest)
		for s, u := range perRequest {
			use[s] += r.Share * u
		}
	}
	lowest := math.Inf(1)
	for s, u := range use {
		svc := d.service(s)
		lowest = min(lowest, float64(svc.Upstreams*svc.Slots)/u)
	}
	return lowest
}
