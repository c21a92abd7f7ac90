package history

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// line is one record on its own line; exactly one field is set.
type line struct {
	Send    *Send    `json:"send,omitempty"`
	Run     *Run     `json:"run,omitempty"`
	Retries *Retries `json:"retries,omitempty"`
	Version *Version `json:"version,omitempty"`
	End     *end     `json:"end,omitempty"`
}

// end is the last line. A file without it was cut, and its missing records
// could be those that break a promise.
type end struct {
	Records int `json:"records"`
}

// maxLine bounds a line that Read accepts, in bytes; a record has far less.
const maxLine = 1 << 20

// Write puts h into w, one JSON object a line.
func Write(w io.Writer, h *History) error {
	buffered := bufio.NewWriter(w)
	enc := json.NewEncoder(buffered)
	for i := range h.Sends {
		if err := enc.Encode(line{Send: &h.Sends[i]}); err != nil {
			return errors.Wrap(err, "send")
		}
	}
	for i := range h.Runs {
		if err := enc.Encode(line{Run: &h.Runs[i]}); err != nil {
			return errors.Wrap(err, "run")
		}
	}
	for i := range h.Retries {
		if err := enc.Encode(line{Retries: &h.Retries[i]}); err != nil {
			return errors.Wrap(err, "retries")
		}
	}
	for i := range h.Versions {
		if err := enc.Encode(line{Version: &h.Versions[i]}); err != nil {
			return errors.Wrap(err, "version")
		}
	}
	if err := enc.Encode(line{End: &end{Records: h.Len()}}); err != nil {
		return errors.Wrap(err, "end")
	}
	return errors.Wrap(buffered.Flush(), "history")
}

// Len is the number of records.
func (h *History) Len() int {
	return len(h.Sends) + len(h.Runs) + len(h.Retries) + len(h.Versions)
}

// Read takes what Write wrote. A line that is no record is an error that names
// it, and so is a file without its end: a history read in part could hide a
// violation.
func Read(r io.Reader) (*History, error) {
	h := &History{}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	ended := false
	for n := 1; scanner.Scan(); n++ {
		if ended {
			return nil, errors.Errorf("line %d: beyond the end", n)
		}
		last, err := h.addLine(scanner.Bytes())
		if err != nil {
			return nil, errors.Wrapf(err, "line %d", n)
		}
		ended = last
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "history")
	}
	if !ended {
		return nil, errors.New("history: the end is missing")
	}
	return h, nil
}

// addLine takes one record and reports whether it is the last line.
func (h *History) addLine(raw []byte) (last bool, err error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	var l line
	if err := dec.Decode(&l); err != nil {
		return false, err
	}
	switch {
	case l.Send != nil:
		h.Sends = append(h.Sends, *l.Send)
	case l.Run != nil:
		h.Runs = append(h.Runs, *l.Run)
	case l.Retries != nil:
		h.Retries = append(h.Retries, *l.Retries)
	case l.Version != nil:
		h.Versions = append(h.Versions, *l.Version)
	case l.End != nil && l.End.Records != h.Len():
		return false, errors.Errorf("%d records, the end counts %d", h.Len(), l.End.Records)
	case l.End != nil:
		return true, nil
	default:
		return false, errors.New("no record of a known kind")
	}
	return false, nil
}
