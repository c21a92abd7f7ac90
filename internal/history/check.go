package history

import (
	"fmt"

	"github.com/galenagrade/galenagrade/internal/result"
)

// Check returns all violations in h, ordered by property and then by record.
func Check(h *History) []Violation {
	var all []Violation
	for _, check := range []func(*History) []Violation{
		checkAtMostOnce,
		checkRefusals,
		checkResponses,
		checkRetries,
		checkCrashes,
		checkVersions,
	} {
		all = append(all, check(h)...)
	}
	return all
}

// Count returns the number of violations of a property.
func Count(violations []Violation, p Property) int {
	n := 0
	for _, v := range violations {
		if v.Property == p {
			n++
		}
	}
	return n
}

// operation identifies an operation that must run at most once. It does not contain the idempotency
// key, so that a second execution under a key that was changed in transit is also found.
type operation struct{ request, service, path string }

// checkAtMostOnce reports each execution beyond the first.
func checkAtMostOnce(h *History) []Violation {
	var found []Violation
	first := map[operation]Run{}
	for _, r := range h.Runs {
		if r.Key == "" {
			continue
		}
		op := operation{r.Request, r.Service, r.Path}
		earlier, hasRun := first[op]
		if !hasRun {
			first[op] = r
			continue
		}
		found = append(found, Violation{AtMostOnce, r.Request, fmt.Sprintf(
			"key %q ran %s at %s for attempt %s, and earlier at %s for attempt %s",
			r.Key, r.Service+r.Path, r.Upstream, r.Attempt, earlier.Upstream, earlier.Attempt)})
	}
	return found
}

// checkRefusals reports attempts that were executed although their response says `ran: no`. An
// execution after the refusal is a violation as well, so the order of records is irrelevant.
func checkRefusals(h *History) []Violation {
	ran := map[string]Run{}
	for _, r := range h.Runs {
		if _, seen := ran[r.Attempt]; !seen {
			ran[r.Attempt] = r
		}
	}
	var found []Violation
	for _, s := range h.Sends {
		if s.Code == 0 || s.Code.Ran() != result.RanNo {
			continue
		}
		if r, ok := ran[s.Attempt]; ok {
			found = append(found, Violation{TrueRefusal, s.Attempt, fmt.Sprintf(
				"result %d %s (ran: no), but %s ran at %s", int(s.Code), s.Code, r.Service+r.Path, r.Upstream)})
		}
	}
	return found
}

func checkResponses(h *History) []Violation {
	var found []Violation
	for _, s := range h.Sends {
		if !s.Success {
			continue
		}
		switch {
		case !s.BodyComplete:
			found = append(found, Violation{RightAnswer, s.Attempt, "successful response with an incomplete body"})
		case s.ResponseRequest != s.Request:
			found = append(found, Violation{RightAnswer, s.Attempt, fmt.Sprintf("received the response to request %q", s.ResponseRequest)})
		case s.ResponseService != s.Service:
			found = append(found, Violation{RightAnswer, s.Attempt, fmt.Sprintf("received the response of service %q instead of %q", s.ResponseService, s.Service)})
		}
	}
	return found
}

// checkRetries compares the sum of retries of a root request with its allowance. Each entry and exit
// node reports its own retries.
func checkRetries(h *History) []Violation {
	total := map[string]int{}
	reported := map[string]bool{}
	var found []Violation
	for _, r := range h.Retries {
		total[r.Root] += r.Count
		over := r.Allowance != Unbounded && total[r.Root] > r.Allowance
		if over && !reported[r.Root] {
			reported[r.Root] = true
			found = append(found, Violation{BoundedRetries, r.Root, fmt.Sprintf("%d retries, allowance %d", total[r.Root], r.Allowance)})
		}
	}
	return found
}

func checkCrashes(h *History) []Violation {
	crashes := map[string]int{}
	var found []Violation
	for _, r := range h.Runs {
		if !r.Killed {
			continue
		}
		crashes[r.Request]++
		if crashes[r.Request] > MaxCrashes {
			found = append(found, Violation{BoundedDeaths, r.Request, fmt.Sprintf("crash %d, of upstream %s", crashes[r.Request], r.Upstream)})
		}
	}
	return found
}

// checkVersions compares each version with the newest earlier version at the same node, also across
// restarts. It skips version 0, at which a node has no configuration in force.
func checkVersions(h *History) []Violation {
	newestVersion := map[string]int64{}
	var found []Violation
	for _, v := range h.Versions {
		if v.Version == 0 {
			continue
		}
		if v.Version < newestVersion[v.Node] {
			found = append(found, Violation{RisingVersions, v.Node, fmt.Sprintf("version %d in force after %d", v.Version, newestVersion[v.Node])})
			continue
		}
		newestVersion[v.Node] = v.Version
	}
	return found
}
