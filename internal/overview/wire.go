package overview

import (
	"encoding/binary"
	"math"

	"github.com/pkg/errors"
)

// wireVersion is the first byte of each message.
const wireVersion = 2

// errMessage is returned for a message that is cut, too long or of another version.
var errMessage = errors.New("overview: message is invalid")

// writer appends the parts of a message to buf. Rates and other quantities take two bytes, with a
// relative error below 0.4 %.
type writer struct{ buf []byte }

func newWriter(size int) *writer { return &writer{append(make([]byte, 0, size), wireVersion)} }

func (w *writer) count(n uint64) { w.buf = binary.AppendUvarint(w.buf, n) }

func (w *writer) name(s string) {
	w.count(uint64(len(s)))
	w.buf = append(w.buf, s...)
}

// value writes the upper half of a float32, rounded.
func (w *writer) value(v float64) {
	const half = 1 << 15
	w.buf = binary.BigEndian.AppendUint16(w.buf, uint16((math.Float32bits(float32(v))+half)>>16))
}

// reader reads the parts of a message. After an error all parts are zero.
type reader struct {
	buf    []byte
	failed bool
}

func newReader(raw []byte) *reader {
	r := &reader{buf: raw}
	if b := r.take(1); r.failed || b[0] != wireVersion {
		r.fail()
	}
	return r
}

func (r *reader) fail() { r.buf, r.failed = nil, true }

func (r *reader) take(n int) []byte {
	if n > len(r.buf) {
		r.fail()
		return make([]byte, min(n, maxNameBytes))
	}
	part := r.buf[:n]
	r.buf = r.buf[n:]
	return part
}

func (r *reader) count() uint64 {
	n, size := binary.Uvarint(r.buf)
	if size <= 0 {
		r.fail()
		return 0
	}
	r.buf = r.buf[size:]
	return n
}

// length reads the number of entries of a list, each of which takes at least one byte.
func (r *reader) length() int {
	n := r.count()
	if n > uint64(len(r.buf)) {
		r.fail()
		return 0
	}
	return int(n)
}

// integer reads a number that fits an int32.
func (r *reader) integer() int {
	n := r.count()
	if n > math.MaxInt32 {
		r.fail()
		return 0
	}
	return int(n)
}

func (r *reader) name() string {
	n := r.count()
	if n > maxNameBytes {
		r.fail()
		return ""
	}
	return string(r.take(int(n)))
}

func (r *reader) value() float64 {
	return float64(math.Float32frombits(uint32(binary.BigEndian.Uint16(r.take(2))) << 16))
}

// end returns an error unless the whole message was read.
func (r *reader) end() error {
	if r.failed || len(r.buf) > 0 {
		return errMessage
	}
	return nil
}

func (w *writer) calls(list []ServiceDemand) {
	w.count(uint64(len(list)))
	for _, c := range list {
		w.name(c.Service)
		w.value(c.PerSecond)
	}
}

func (r *reader) calls() []ServiceDemand {
	var list []ServiceDemand
	for range r.length() {
		list = append(list, ServiceDemand{r.name(), r.value()})
	}
	return list
}

func (w *writer) workspaces(list []WorkspaceDemand) {
	w.count(uint64(len(list)))
	for _, x := range list {
		w.workspace(x)
	}
}

func (w *writer) workspace(x WorkspaceDemand) {
	id := idOf(x.Workspace)
	w.buf = append(w.buf, id[:]...)
	w.value(x.PerSecond)
}

func (r *reader) workspaces() []WorkspaceDemand {
	var list []WorkspaceDemand
	for range r.length() {
		list = append(list, r.workspace())
	}
	return list
}

func (r *reader) workspace() WorkspaceDemand {
	return WorkspaceDemand{idText([idBytes]byte(r.take(idBytes))), r.value()}
}

func (w *writer) rest(d RestDemand) {
	w.count(uint64(max(d.Workspaces, 0)))
	w.value(d.PerSecond)
}

func (r *reader) rest() RestDemand { return RestDemand{r.integer(), r.value()} }

// capacity writes all but the name.
func (w *writer) capacity(c *Capacity) {
	w.count(uint64(max(c.Upstreams, 0)))
	for _, v := range []float64{c.Slots, c.Busy, c.Queued, c.PerSecond} {
		w.value(v)
	}
	w.count(uint64(len(c.Kinds)))
	for _, k := range c.Kinds {
		w.buf = binary.BigEndian.AppendUint32(w.buf, k.Kind)
		w.value(k.Seconds)
		w.value(k.PerSecond)
	}
}

func (r *reader) capacity(service string) Capacity {
	c := Capacity{Service: service, Upstreams: r.integer(), Slots: r.value(), Busy: r.value(), Queued: r.value(), PerSecond: r.value()}
	for range r.length() {
		c.Kinds = append(c.Kinds, KindTime{binary.BigEndian.Uint32(r.take(4)), r.value(), r.value()})
	}
	return c
}
