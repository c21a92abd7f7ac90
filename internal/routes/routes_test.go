package routes

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func route(host, prefix string, targets ...WeightedService) Route {
	return Route{Name: prefix, Host: host, Prefix: prefix, Targets: targets, Timeout: time.Second, MaxAttempts: 2}
}

func config(version int64, list ...Route) *Config {
	c := &Config{Version: version, Routes: list}
	for _, s := range []string{"a", "b", "c"} {
		c.Services = append(c.Services, Service{Name: s})
	}
	return c
}

// Guards against a request that is sent to the service of a shorter prefix or of another host.
func TestLongestPrefixWins(t *testing.T) {
	c := config(1,
		route("h", "/", WeightedService{"a", 1}),
		route("h", "/x/y/", WeightedService{"c", 1}),
		route("h", "/x/", WeightedService{"b", 1}),
	)
	must.NoError(t, c.Validate())
	table := NewTable(nil, c, 0)
	for path, want := range map[string]string{"/": "a", "/x": "a", "/x/": "b", "/x/yz": "b", "/x/y/z": "c"} {
		must.EqOp(t, want, table.Match("h", path).Service(), must.Sprint(path))
	}
	must.EqOp(t, "b", table.Match("H:8080", "/x/1").Service())
	must.Nil(t, table.Match("other", "/x/"))
}

// Guards against an invalid configuration that is accepted, or whose error names another field.
func TestValidateNamesTheField(t *testing.T) {
	good := func() *Config { return config(1, route("h", "/x/", WeightedService{"a", 1})) }
	must.NoError(t, good().Validate())
	for name, invalidate := range map[string]func(*Config){
		"version":      func(c *Config) { c.Version = 0 },
		"prefix":       func(c *Config) { c.Routes[0].Prefix = "/x" },
		"host":         func(c *Config) { c.Routes[0].Host = "" },
		"timeout":      func(c *Config) { c.Routes[0].Timeout = 0 },
		"max_attempts": func(c *Config) { c.Routes[0].MaxAttempts = 0 },
		"service":      func(c *Config) { c.Routes[0].Targets[0].Service = "unknown" },
		"weight":       func(c *Config) { c.Routes[0].Targets[0].Weight = -1 },
		"weight, odd":  func(c *Config) { c.Routes[0].Targets[0].Weight = math.MaxInt },
		"version, odd": func(c *Config) { c.Version = math.MaxInt64 },
		"objective":    func(c *Config) { c.Routes[0].Objective = -1 },
		"health path":  func(c *Config) { c.Services[0].HealthPath = "@other/" },
		"header bytes": func(c *Config) { c.Limits.HeaderBytes = -1 },
		"idle timeout": func(c *Config) { c.Limits.IdleTimeout = math.MaxInt64 },
	} {
		c := good()
		invalidate(c)
		var field *FieldError
		must.True(t, errors.As(c.Validate(), &field), must.Sprint(name))
		must.StrContains(t, field.Field, strings.TrimSuffix(name, ", odd"))
	}
	duplicate := config(1, route("h", "/x/", WeightedService{"a", 1}), route("h", "/x/", WeightedService{"b", 1}))
	must.ErrorContains(t, duplicate.Validate(), "once")
}

// Guards against a splitter that starts again with each publication: it would send too many
// requests to the first target.
func TestPublicationKeepsSplitterState(t *testing.T) {
	split := route("h", "/x/", WeightedService{"a", 1}, WeightedService{"b", 1})
	table := NewTable(nil, config(1, split), 0)
	var got []string
	for version := range int64(6) {
		table = NewTable(table, config(version+2, split), 0)
		got = append(got, table.Match("h", "/x/").Service())
	}
	must.Eq(t, []string{"a", "b", "a", "b", "a", "b"}, got)
}

// Guards against targets that get more or less than their share in some run of requests. Many
// nodes distribute the requests of one route independently, so a deviation on each node adds up.
func TestSplitterFollowsWeightsInEveryRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 2, 5).Draw(t, "weights")
		total := 0
		for _, w := range weights {
			total += w
		}
		if total == 0 {
			weights[0], total = 1, 1
		}
		s := NewSplitter(weights, rapid.Uint64().Draw(t, "seed"))
		counts := make([]int, len(weights))
		requests := rapid.IntRange(1, 500).Draw(t, "requests")
		for range requests {
			counts[s.Next()]++
		}
		for i, n := range counts {
			fair := float64(requests) * float64(weights[i]) / float64(total)
			if float64(n) < fair-float64(len(weights)) || float64(n) > fair+float64(len(weights)) {
				t.Fatalf("target %d got %d of %d requests, its share is %.1f, weights %v", i, n, requests, fair, weights)
			}
			if weights[i] == 0 && n > 0 {
				t.Fatal(fmt.Sprint("target without weight got requests: ", weights))
			}
		}
	})
}
