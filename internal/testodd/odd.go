// Package testodd makes the entries that another writer may leave among the records of nodes.
package testodd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"time"
)

// Entry is a record of another writer: one that no node would write.
type Entry struct {
	// Name says what is odd.
	Name  string
	Key   string
	Value []byte
}

// nestingDepth is more than decoders of JSON follow.
const nestingDepth = 100_000

// Entries returns entries for the topic of the nodes' records. victim is the record of a living node as JSON
// fields and values, of which some entries are copies with one field changed; it needs the fields node,
// address, service, region, zone and incarnation.
func Entries(victim map[string]any) []Entry {
	node, address := victim["node"].(string), victim["address"].(string)
	ahead := uint64(time.Now().Add(time.Minute).UnixNano())
	odd := []Entry{
		{Name: "no JSON", Value: []byte{0xff, 0x00, 0x80, '{'}},
		{Name: "nested", Value: bytes.Repeat([]byte("["), nestingDepth)},
		{Name: "number too large", Value: []byte(`{"node":"` + node + `","incarnation":1e999}`)},
		{Name: "other types", Value: []byte(`{"node":["` + node + `"],"incarnation":"1","address":7,"slots":{}}`)},
		{Name: "list", Value: []byte(`[null]`)},
		{Name: "nothing known", Value: []byte(`{}`)},
		{Name: "longest key", Key: strings.Repeat("k", math.MaxUint8), Value: []byte(`{}`)},
		{Name: "odd crash records", Key: "crash/" + node, Value: []byte(`[{"f":18446744073709551615,"upstream":"\u0000","incarnation":18446744073709551615,"at_ms":-9223372036854775808}]`)},
	}
	for _, change := range []struct {
		field string
		value any
	}{
		{"incarnation", uint64(math.MaxUint64)},
		{"incarnation", ahead},
		{"address", "127.0.0.1:99999"},
		{"address", "127.0.0.1:1\r\nX: y"},
		{"slots", int64(math.MaxInt64)},
		{"slots", -1},
		{"serves_since", int64(math.MinInt64)},
		{"started_at", int64(math.MaxInt64)},
		{"state", "resting"},
		{"node", "stranger"},
	} {
		fields := map[string]any{"incarnation": ahead, "revision": 1, "state": "gone"}
		for name, value := range victim {
			if _, set := fields[name]; !set {
				fields[name] = value
			}
		}
		fields[change.field] = change.value
		odd = append(odd, Entry{Name: fmt.Sprintf("%s %v of %s at %s", change.field, change.value, node, address), Value: mustEncode(fields)})
	}
	for i := range odd {
		if odd[i].Key == "" {
			odd[i].Key = fmt.Sprintf("odd/%d", i)
		}
	}
	return odd
}

func mustEncode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // a value of the tests
	}
	return raw
}
