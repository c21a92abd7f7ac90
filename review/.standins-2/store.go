package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: keyed topics of one partition, as PROTOCOL.md describes
// them.
type store struct {
	record *recorder
	addr   string
	server *http.Server

	mu     sync.Mutex
	topics map[string]*topic
	// lose decides whether an append is left without a response, and when it takes effect then. nil
	// loses none.
	lose func(topicName string, keys []string, body []byte) (after time.Duration, lost bool)
	// appended is called after an append took effect, with the lock held.
	appended func(topicName, key string, value []byte)
}

type topic struct {
	records [][]byte
	newest  map[string]int
	changed chan struct{}
}

func startStore(rec *recorder) *store {
	s := &store{record: rec, topics: map[string]*topic{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.readNewest)
	l, err := net.Listen("tcp", freeAddr())
	check(err)
	s.addr = l.Addr().String()
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// splitRecords returns the records of the body of an append.
func splitRecords(body []byte) (out [][]byte) {
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			return out
		}
		out = append(out, body[4:4+n])
		body = body[4+n:]
	}
	return out
}

func keyAndValue(record []byte) (string, []byte) {
	if len(record) == 0 || len(record) < 1+int(record[0]) {
		return "", nil
	}
	end := 1 + int(record[0])
	return string(record[1:end]), record[end:]
}

// add makes an append take effect.
func (s *store) add(name string, records [][]byte) (first, end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	first = len(t.records)
	for _, r := range records {
		key, value := keyAndValue(r)
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = len(t.records)
		}
		t.records = append(t.records, r)
		if s.appended != nil {
			s.appended(name, key, value)
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return first, len(t.records)
}

// put writes a record as the operator does.
func (s *store) put(name, key string, value any) {
	raw, err := json.Marshal(value)
	check(err)
	s.add(name, [][]byte{append(append([]byte{byte(len(key))}, key...), raw...)})
	s.record.log("operator writes %s/%s: %s", name, key, raw)
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	body, err := io.ReadAll(io.LimitReader(r.Body, 2<<20))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	records := splitRecords(body)
	var keys []string
	for _, x := range records {
		key, _ := keyAndValue(x)
		keys = append(keys, key)
	}
	s.mu.Lock()
	lose := s.lose
	s.mu.Unlock()
	if lose != nil {
		if after, lost := lose(name, keys, body); lost {
			s.record.log("store: append of %v gets no response and takes effect in %v", keys, after)
			time.AfterFunc(after, func() {
				s.add(name, records)
				s.record.log("store: the append of %v without a response takes effect", keys)
			})
			<-r.Context().Done() // the connection returns nothing further
			panic(http.ErrAbortHandler)
		}
	}
	time.Sleep(4 * time.Millisecond)
	first, end := s.add(name, records)
	writeJSON(w, map[string]any{"offset": first, "end_offset": end})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; waiting; {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		ready, changed := from < len(t.records), t.changed
		s.mu.Unlock()
		if ready {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, x := range t.records[min(from, len(t.records)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(x)))
		out = append(out, x...)
	}
	_, _ = w.Write(out)
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	items := []map[string]any{}
	more := false
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if strings.Compare(key, q.Get("after")) <= 0 {
			continue
		}
		if len(items) == 500 {
			more = true
			break
		}
		_, value := keyAndValue(t.records[t.newest[key]])
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": t.newest[key]})
	}
	writeJSON(w, map[string]any{"items": items, "has_more": more, "end_offset": len(t.records)})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
