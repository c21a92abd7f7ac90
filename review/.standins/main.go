// Command standins runs the cases of the review. It starts nodes as separate processes with the
// command of deploy/system.toml, on loopback addresses, and is the store, the backends and the clients
// of a small deployment. It writes what was sent, answered and run to a record and exits with 1 if the
// rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// errNotRun is the cause of a case that could not run.
var errNotRun = errors.New("the case could not run")

func main() {
	name := flag.String("case", "", "name of the case")
	galenad := flag.String("galenad", "target/galenad", "the node's program")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "cause the disruption")
	logs := flag.String("logs", "", "folder that keeps the logs of the nodes; empty deletes them")
	flag.Parse()
	os.Exit(runCase(*name, *galenad, *recordPath, *logs, *trouble))
}

// maxRun bounds the time of a case.
const maxRun = 118 * time.Second

func runCase(name, galenad, recordPath, logs string, trouble bool) int {
	play, known := cases[name]
	if !known {
		fmt.Fprintf(os.Stderr, "standins: unknown case %q\n", name)
		return notRun
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standins:", err)
		return notRun
	}
	defer rec.close()
	d, err := newDeployment(galenad, logs, rec)
	if err != nil {
		rec.note("not run: %v", err)
		return notRun
	}
	defer d.close()
	overdue := time.AfterFunc(maxRun, func() {
		rec.note("not run: the case took longer than %v", maxRun)
		d.close()
		rec.close()
		os.Exit(notRun)
	})
	defer overdue.Stop()
	broken, err := play(d, trouble)
	if err != nil {
		rec.note("not run: %v", err)
		return notRun
	}
	for _, b := range broken {
		rec.note("BROKEN %s", b)
	}
	if len(broken) > 0 {
		rec.note("verdict: the rule was broken %d times", len(broken))
		return ruleBroken
	}
	rec.note("verdict: the rule held")
	return ruleHeld
}

// cases are the cases by name. Each returns one line for each time that the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) ([]string, error){
	"twice":    playTwice,
	"unsigned": playUnsigned,
	"departed": playDeparted,
}
