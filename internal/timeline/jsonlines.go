package timeline

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// MaxLineBytes bounds one line of JSON lines.
const MaxLineBytes = 16 << 10

// WriteJSONLines writes one document an event.
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

// ReadJSONLines reads at most limit events; more is an error, as is a line
// that isn't an event.
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
			return nil, errors.Wrapf(err, "timeline: line %d", line)
		}
		events = append(events, e)
	}
	return events, errors.Wrap(sc.Err(), "timeline: read events")
}
