package metrics

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against lines that are reordered or lost when the writer is closed.
func TestAsyncWriterKeepsOrder(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, err := w.Write([]byte(line))
		must.NoError(t, err)
	}
	w.Close(time.Minute)
	must.EqOp(t, "a\nb\nc\n", out.String())
}

// Guards against calls that block on logging while the reader of standard output is stopped, and
// against dropped lines that are not reported once the reader continues.
func TestStoppedReaderDoesNotBlockWrite(t *testing.T) {
	r, pipe := io.Pipe()
	w := NewAsyncWriter(pipe)
	const lines = 2 * asyncQueueLines
	for range lines {
		_, err := w.Write([]byte("line\n"))
		must.NoError(t, err)
	}
	must.Greater(t, 0, w.Dropped())
	var out bytes.Buffer
	copied := make(chan struct{})
	go func() {
		defer close(copied)
		_, _ = io.Copy(&out, r)
	}()
	w.Close(time.Minute)
	must.NoError(t, pipe.Close())
	<-copied
	must.StrContains(t, out.String(), "dropped_total")
	must.EqOp(t, lines-int(w.Dropped()), strings.Count(out.String(), "line\n"))
}

func BenchmarkAsyncWriter(b *testing.B) {
	w := NewAsyncWriter(io.Discard)
	defer w.Close(time.Second)
	line := bytes.Repeat([]byte("x"), 300)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = w.Write(line)
	}
}
