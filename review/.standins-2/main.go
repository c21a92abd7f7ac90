// Review2 plays the cases of the second review. It starts the project's nodes as separate processes, and
// is itself the platform, the backends and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// recorder writes record.txt and keeps which backend began to run which request.
type recorder struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	runs map[string][]ran
}

type ran struct {
	backend string
	at      time.Time
	endedAt time.Time
	how     string
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) run(id, backend string) {
	r.mu.Lock()
	r.runs[id] = append(r.runs[id], ran{backend: backend, at: time.Now()})
	r.mu.Unlock()
	r.log("backend %s runs request %s", backend, id)
}

func (r *recorder) runEnded(id, backend, how string) {
	r.mu.Lock()
	for i := range r.runs[id] {
		if x := &r.runs[id][i]; x.backend == backend && x.endedAt.IsZero() {
			x.endedAt, x.how = time.Now(), how
			break
		}
	}
	r.mu.Unlock()
	r.log("backend %s ends request %s: %s", backend, id, how)
}

func (r *recorder) runsOf(id string) []ran {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]ran(nil), r.runs[id]...)
}

// exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// cleanups end what the case started.
var cleanups struct {
	sync.Mutex
	list []func()
	once sync.Once
}

func onExit(f func()) {
	cleanups.Lock()
	defer cleanups.Unlock()
	cleanups.list = append(cleanups.list, f)
}

func quit(code int) {
	cleanups.once.Do(func() {
		cleanups.Lock()
		list := cleanups.list
		cleanups.Unlock()
		for i := len(list) - 1; i >= 0; i-- {
			list[i]()
		}
	})
	os.Exit(code)
}

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case can't run: "+format+"\n", args...)
	quit(unable)
}

func check(err error) {
	if err != nil {
		fail("%v", err)
	}
}

var cases = map[string]func(rec *recorder, dir string, trouble bool) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fail("usage: review2 CASE RECORD-FILE")
	}
	file, err := os.Create(os.Args[2])
	check(err)
	rec := &recorder{start: time.Now(), file: file, runs: map[string][]ran{}}
	dir, err := os.MkdirTemp("", "review2-")
	check(err)
	if os.Getenv("KEEP_LOGS") == "" {
		onExit(func() { _ = os.RemoveAll(dir) })
	} else {
		fmt.Println("logs in", dir)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(117 * time.Second):
		}
		fail("interrupted, or longer than 117 s")
	}()
	if _, err := os.Stat("target/galenad"); err != nil {
		fail("target/galenad is not built: run the build of deploy/system.toml first")
	}
	code := cases[os.Args[1]](rec, dir, os.Getenv("TROUBLE") != "0")
	quit(code)
}

// verdict prints the result of a case and returns its exit code.
func verdict(rec *recorder, rule string, findings []string) int {
	for _, f := range findings {
		rec.log("%s", f)
		fmt.Println(f)
	}
	if len(findings) > 0 {
		fmt.Printf("%s is broken: %d times\n", rule, len(findings))
		rec.log("%s is broken: %d times", rule, len(findings))
		return broken
	}
	fmt.Printf("%s held\n", rule)
	rec.log("%s held", rule)
	return held
}
