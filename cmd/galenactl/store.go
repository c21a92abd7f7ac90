package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/records"
)

type storeCmd struct {
	From []string `help:"Log files of nodes; one file may hold several nodes. Default: standard input."`
}

// storeCall is the topic, purpose and outcome of a call to the store, as a node logs them.
type storeCall struct {
	Topic   string          `json:"topic"`
	Purpose records.Purpose `json:"purpose"`
	Outcome records.Outcome `json:"outcome"`
}

// storeCount is the number of calls with the same topic, purpose and outcome.
type storeCount struct {
	storeCall
	Calls int `json:"calls"`
}

// Run implements the command.
func (c *storeCmd) Run(a *app) error {
	lines, skipped, err := readLogs(c.From, a.stdin)
	if err != nil {
		return usageError{err}
	}
	if skipped > 0 {
		fmt.Fprintf(a.stderr, "galenactl: %d lines are no JSON and were passed over\n", skipped)
	}
	counts, err := countStoreCalls(lines)
	if err != nil {
		return err
	}
	return a.print(counts, storeTable(counts))
}

// countStoreCalls counts the calls to the store in lines by topic, purpose and outcome, the most
// frequent first.
func countStoreCalls(lines []logLine) ([]storeCount, error) {
	calls := map[storeCall]int{}
	for i := range lines {
		if lines[i].Message != records.StoreCallMessage {
			continue
		}
		var call storeCall
		if err := json.Unmarshal([]byte(lines[i].raw), &call); err != nil {
			return nil, errors.Wrapf(err, "decode the store call in line %.200q", lines[i].raw)
		}
		calls[call]++
	}
	counts := make([]storeCount, 0, len(calls))
	for call := range maps.Keys(calls) {
		counts = append(counts, storeCount{call, calls[call]})
	}
	slices.SortFunc(counts, func(a, b storeCount) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), strings.Compare(fmt.Sprint(a.storeCall), fmt.Sprint(b.storeCall)))
	})
	return counts, nil
}

func storeTable(counts []storeCount) *table {
	t := newTable("TOPIC", "PURPOSE", "OUTCOME", "CALLS")
	total := 0
	for _, c := range counts {
		t.row(c.Topic, c.Purpose, c.Outcome, c.Calls)
		total += c.Calls
	}
	t.note("%d calls of the store", total)
	return t
}
