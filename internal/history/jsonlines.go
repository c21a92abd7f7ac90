package history

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// record is one line of the file. Exactly one field is set.
type record struct {
	Send    *Send      `json:"send,omitempty"`
	Run     *Run       `json:"run,omitempty"`
	Retries *Retries   `json:"retries,omitempty"`
	Version *Version   `json:"version,omitempty"`
	End     *endRecord `json:"end,omitempty"`
}

// endRecord is the last line. A file without it is truncated, and the missing records could contain
// violations.
type endRecord struct {
	Records int `json:"records"`
}

// maxLineBytes is the maximum length in bytes of a line that Read accepts. Records are far shorter.
const maxLineBytes = 1 << 20

// Write writes h to w, one JSON object per line, followed by an end record.
func Write(w io.Writer, h *History) error {
	buffered := bufio.NewWriter(w)
	enc := json.NewEncoder(buffered)
	for i := range h.Sends {
		if err := enc.Encode(record{Send: &h.Sends[i]}); err != nil {
			return errors.Wrap(err, "write send record")
		}
	}
	for i := range h.Runs {
		if err := enc.Encode(record{Run: &h.Runs[i]}); err != nil {
			return errors.Wrap(err, "write run record")
		}
	}
	for i := range h.Retries {
		if err := enc.Encode(record{Retries: &h.Retries[i]}); err != nil {
			return errors.Wrap(err, "write retry record")
		}
	}
	for i := range h.Versions {
		if err := enc.Encode(record{Version: &h.Versions[i]}); err != nil {
			return errors.Wrap(err, "write version record")
		}
	}
	if err := enc.Encode(record{End: &endRecord{Records: h.Len()}}); err != nil {
		return errors.Wrap(err, "write end record")
	}
	return errors.Wrap(buffered.Flush(), "write history")
}

// Len returns the number of records.
func (h *History) Len() int {
	return len(h.Sends) + len(h.Runs) + len(h.Retries) + len(h.Versions)
}

// Read reads a history in the format of Write. A line that is not a record is an error that contains
// the line number. A missing end record is an error, because a truncated history could hide a
// violation.
func Read(r io.Reader) (*History, error) {
	h := &History{}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	atEnd := false
	for n := 1; scanner.Scan(); n++ {
		if atEnd {
			return nil, errors.Errorf("line %d: data after the end record", n)
		}
		isEnd, err := h.addRecord(scanner.Bytes())
		if err != nil {
			return nil, errors.Wrapf(err, "decode record in line %d", n)
		}
		atEnd = isEnd
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "read history")
	}
	if !atEnd {
		return nil, errors.New("history: end record is missing, the file is truncated")
	}
	return h, nil
}

// addRecord parses one line, adds its record to h and reports whether it is the end record.
func (h *History) addRecord(raw []byte) (isEnd bool, err error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	var rec record
	if err := dec.Decode(&rec); err != nil {
		return false, err
	}
	switch {
	case rec.Send != nil:
		h.Sends = append(h.Sends, *rec.Send)
	case rec.Run != nil:
		h.Runs = append(h.Runs, *rec.Run)
	case rec.Retries != nil:
		h.Retries = append(h.Retries, *rec.Retries)
	case rec.Version != nil:
		h.Versions = append(h.Versions, *rec.Version)
	case rec.End != nil && rec.End.Records != h.Len():
		return false, errors.Errorf("the file has %d records, but the end record counts %d", h.Len(), rec.End.Records)
	case rec.End != nil:
		return true, nil
	default:
		return false, errors.New("unknown record kind")
	}
	return false, nil
}
