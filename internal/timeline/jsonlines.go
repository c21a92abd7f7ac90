package timeline

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// MaxLineBytes is the maximum length in bytes of a line that ReadJSONLines accepts.
const MaxLineBytes = 16 << 10

// WriteJSONLines writes one JSON object per line for each event.
func WriteJSONLines(w io.Writer, events []Event) error {
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	for i := range events {
		if err := enc.Encode(&events[i]); err != nil {
			return errors.Wrap(err, "timeline: write event")
		}
	}
	return nil
}

// ReadJSONLines reads events in the format of WriteJSONLines and skips empty lines. More than limit
// events or an invalid line is an error.
func ReadJSONLines(r io.Reader, limit int) ([]Event, error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 4096), MaxLineBytes)
	var events []Event
	for line := 1; sc.Scan(); line++ {
		if len(sc.Bytes()) == 0 {
			continue
		}
		if len(events) == limit {
			return nil, errors.Errorf("timeline: more than %d events", limit)
		}
		var e Event
		if err := json.Unmarshal(sc.Bytes(), &e); err != nil {
			return nil, errors.Wrapf(err, "timeline: decode event in line %d", line)
		}
		events = append(events, e)
	}
	return events, errors.Wrap(sc.Err(), "timeline: read events")
}
