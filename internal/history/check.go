package history

import (
	"fmt"

	"github.com/galenagrade/galenagrade/internal/result"
)

// Check returns every violation in h, by property and then in the order of the
// records.
func Check(h *History) []Violation {
	var all []Violation
	for _, check := range []func(*History) []Violation{
		checkAtMostOnce,
		checkRefusals,
		checkAnswers,
		checkRetries,
		checkDeaths,
		checkVersions,
	} {
		all = append(all, check(h)...)
	}
	return all
}

// Count returns how many of the violations are of a property.
func Count(violations []Violation, p Property) int {
	n := 0
	for _, v := range violations {
		if v.Property == p {
			n++
		}
	}
	return n
}

// operation is what must run once: the key alone would miss a key that was
// changed on the way.
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
		before, ran := first[op]
		if !ran {
			first[op] = r
			continue
		}
		found = append(found, Violation{AtMostOnce, r.Request, fmt.Sprintf(
			"key %q ran %s at %s for sending %s, and before at %s for sending %s",
			r.Key, r.Service+r.Path, r.Upstream, r.Attempt, before.Upstream, before.Attempt)})
	}
	return found
}

// checkRefusals looks for executions of sendings whose answer promised none.
// Their order doesn't matter: a run after the refusal breaks it as well.
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
				"answered %d %s (ran: no), and ran %s at %s", int(s.Code), s.Code, r.Service+r.Path, r.Upstream)})
		}
	}
	return found
}

func checkAnswers(h *History) []Violation {
	var found []Violation
	for _, s := range h.Sends {
		if !s.Success {
			continue
		}
		switch {
		case !s.Whole:
			found = append(found, Violation{RightAnswer, s.Attempt, "a success with an incomplete body"})
		case s.AnswerTo != s.Request:
			found = append(found, Violation{RightAnswer, s.Attempt, fmt.Sprintf("got the answer to request %q", s.AnswerTo)})
		case s.AnswerFrom != s.Service:
			found = append(found, Violation{RightAnswer, s.Attempt, fmt.Sprintf("got the answer of service %q, asked %q", s.AnswerFrom, s.Service)})
		}
	}
	return found
}

// checkRetries adds up the records of a root: each entry and exit node reports
// its own.
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

func checkDeaths(h *History) []Violation {
	deaths := map[string]int{}
	var found []Violation
	for _, r := range h.Runs {
		if !r.Killed {
			continue
		}
		deaths[r.Request]++
		if deaths[r.Request] > MaxDeaths {
			found = append(found, Violation{BoundedDeaths, r.Request, fmt.Sprintf("death %d, of %s", deaths[r.Request], r.Upstream)})
		}
	}
	return found
}

// checkVersions compares each version with the newest before it at the same
// node, restarts included. A node that has none yet serves by none.
func checkVersions(h *History) []Violation {
	newest := map[string]int64{}
	var found []Violation
	for _, v := range h.Versions {
		if v.Version == 0 {
			continue
		}
		if v.Version < newest[v.Node] {
			found = append(found, Violation{RisingVersions, v.Node, fmt.Sprintf("version %d in force after %d", v.Version, newest[v.Node])})
			continue
		}
		newest[v.Node] = v.Version
	}
	return found
}
