package metrics

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncQueueLines is the maximum number of queued lines. At 300 bytes each they use 0.6 MB.
	asyncQueueLines = 2048
	// asyncBatchBytes is the size in bytes at which a batch is written without adding more lines.
	asyncBatchBytes = 32 << 10
	// asyncBatchDelay is the time for which the first line of a batch waits for more lines. On a
	// busy node, batching reduces the number of write system calls to a tenth.
	asyncBatchDelay = 50 * time.Millisecond
)

// AsyncWriter queues lines for a goroutine that writes them. Write never blocks: while the reader
// of a pipe is stopped and the queue is full, lines are dropped and counted. The count is written
// once the reader continues. Safe for concurrent use.
type AsyncWriter struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	stop      chan struct{}
	done      sync.WaitGroup
	closeOnce sync.Once
}

// NewAsyncWriter returns an AsyncWriter to out and starts its goroutine. The caller must call Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, asyncQueueLines), stop: make(chan struct{})}
	w.done.Add(1)
	go w.run()
	return w
}

// Write implements io.Writer. It queues a copy of line and never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the goroutine. It returns after timeout at the latest, so
// that a stopped reader cannot delay the exit of the process.
func (w *AsyncWriter) Close(timeout time.Duration) {
	w.closeOnce.Do(func() { close(w.stop) })
	drained := make(chan struct{})
	go func() {
		w.done.Wait()
		close(drained)
	}()
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-drained:
	case <-t.C:
	}
}

func (w *AsyncWriter) run() {
	defer w.done.Done()
	var reportedDropped int64
	buf := make([]byte, 0, asyncBatchBytes)
	for {
		stopping := false
		select {
		case line := <-w.lines:
			buf = append(buf[:0], line...)
			w.waitForBatch()
		case <-w.stop:
			stopping = true
			buf = buf[:0]
		}
		buf = w.appendQueued(buf)
		if dropped := w.dropped.Load(); dropped > reportedDropped {
			buf = fmt.Appendf(buf, "{\"level\":\"warn\",\"dropped_total\":%d,\"message\":\"log lines dropped\"}\n", dropped)
			reportedDropped = dropped
		}
		if len(buf) > 0 {
			// A write error is ignored: this writer is the destination of error logs.
			_, _ = w.out.Write(buf)
		}
		if stopping && len(w.lines) == 0 {
			return
		}
	}
}

// waitForBatch waits for asyncBatchDelay or until Close is called.
func (w *AsyncWriter) waitForBatch() {
	t := time.NewTimer(asyncBatchDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-w.stop:
	}
}

// appendQueued appends queued lines to buf until the queue is empty or buf has reached
// asyncBatchBytes.
func (w *AsyncWriter) appendQueued(buf []byte) []byte {
	for len(buf) < asyncBatchBytes {
		select {
		case line := <-w.lines:
			buf = append(buf, line...)
		default:
			return buf
		}
	}
	return buf
}
