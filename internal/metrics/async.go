package metrics

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncLines bounds the lines that wait for the writer: at 300 bytes each
	// they hold 0.6 MB.
	asyncLines = 2048
	// asyncBatch bounds one write in bytes.
	asyncBatch = 32 << 10
	// asyncGather is how long the first of some lines waits for more: one write
	// for many lines costs a busy node a tenth of the system calls.
	asyncGather = 50 * time.Millisecond
)

// AsyncWriter hands lines to a goroutine that writes them. No caller ever waits:
// when the reader of a pipe has stopped, lines are dropped and counted, and the
// count is written once the reader goes on. Safe for concurrent use.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    sync.WaitGroup
	once    sync.Once
}

// NewAsyncWriter starts the writer; Close must follow.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, asyncLines), stop: make(chan struct{})}
	w.done.Add(1)
	go w.run()
	return w
}

// Write implements io.Writer; it keeps a copy and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits, for at most the given time: a stopped reader must not
// hold up the end of the process.
func (w *AsyncWriter) Close(within time.Duration) {
	w.once.Do(func() { close(w.stop) })
	ended := make(chan struct{})
	go func() {
		w.done.Wait()
		close(ended)
	}()
	t := time.NewTimer(within)
	defer t.Stop()
	select {
	case <-ended:
	case <-t.C:
	}
}

func (w *AsyncWriter) run() {
	defer w.done.Done()
	var reported int64
	buf := make([]byte, 0, asyncBatch)
	for {
		stopping := false
		select {
		case line := <-w.lines:
			buf = append(buf[:0], line...)
			w.gather()
		case <-w.stop:
			stopping = true
			buf = buf[:0]
		}
		buf = w.collect(buf)
		if dropped := w.dropped.Load(); dropped > reported {
			buf = fmt.Appendf(buf, "{\"level\":\"warn\",\"dropped_total\":%d,\"message\":\"log lines dropped\"}\n", dropped)
			reported = dropped
		}
		if len(buf) > 0 {
			// A failed write has nowhere to be told: this is where errors go.
			_, _ = w.out.Write(buf)
		}
		if stopping && len(w.lines) == 0 {
			return
		}
	}
}

// gather waits for more lines, unless the writer is to end.
func (w *AsyncWriter) gather() {
	t := time.NewTimer(asyncGather)
	defer t.Stop()
	select {
	case <-t.C:
	case <-w.stop:
	}
}

func (w *AsyncWriter) collect(buf []byte) []byte {
	for len(buf) < asyncBatch {
		select {
		case line := <-w.lines:
			buf = append(buf, line...)
		default:
			return buf
		}
	}
	return buf
}
