package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const storeLog = `1.0 a {"level":"info","topic":"routes","purpose":"changes","outcome":"done","time":"2026-08-22T11:21:56.900Z","message":"store called"}
1.0 b {"level":"info","topic":"routes","purpose":"changes","outcome":"done","time":"2026-08-22T11:21:56.901Z","message":"store called"}
1.1 b {"level":"info","topic":"members","purpose":"own_record","outcome":"failed","time":"2026-08-22T11:21:56.950Z","message":"store called"}
1.2 b {"level":"info","topic":"members","time":"2026-08-22T11:21:56.960Z","message":"store unreachable; the node keeps its last state of the topic"}
`

// Guards against store calls whose cost cannot be attributed to a topic, purpose and outcome, and
// against counting other log lines as calls.
func TestStoreCallsAreCountedByTopicPurposeAndOutcome(t *testing.T) {
	var out, errOut bytes.Buffer
	code := run(t.Context(), []string{"store"}, strings.NewReader(storeLog), &out, &errOut)
	must.EqOp(t, exitOK, code, must.Sprint(errOut.String()))
	rows := strings.Split(strings.TrimSpace(out.String()), "\n")
	must.Eq(t, []string{"routes", "changes", "done", "2"}, strings.Fields(rows[1]))
	must.Eq(t, []string{"members", "own_record", "failed", "1"}, strings.Fields(rows[2]))
	must.StrContains(t, rows[3], "3 calls")
}
