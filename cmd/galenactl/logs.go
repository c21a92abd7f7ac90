package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/timeline"
)

// logLine is one line of a node's log.
type logLine struct {
	timeline.Event
	Level   string `json:"level"`
	Time    string `json:"time"`
	Message string `json:"message"`
	Result  string `json:"result,omitempty"`
	Ran     string `json:"ran,omitempty"`
	// RoutesVersion is that in force at the node when it wrote the line.
	RoutesVersion int64 `json:"routes_version,omitempty"`
	// Member is the node that a line about another node is about.
	Member string `json:"member,omitempty"`
	// at is Time parsed.
	at time.Time
	// raw is the line as it was read, for lines that are no events.
	raw string
}

// readLogs reads the log files at some paths, or else standard input.
func readLogs(paths []string, stdin io.Reader) (lines []logLine, unread int, err error) {
	if len(paths) == 0 {
		return readLog(stdin)
	}
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, 0, err
		}
		got, bad, err := readLog(f)
		f.Close()
		if err != nil {
			return nil, 0, errors.WithMessage(err, path)
		}
		lines = append(lines, got...)
		unread += bad
	}
	return lines, unread, nil
}

// readLog reads lines of JSON; whatever stands before the first brace, such as
// the prefix of a log collector, is passed over.
func readLog(r io.Reader) (lines []logLine, unread int, err error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 4096), timeline.MaxLineBytes)
	for sc.Scan() {
		brace := bytes.IndexByte(sc.Bytes(), '{')
		if brace < 0 {
			unread++
			continue
		}
		l := logLine{raw: string(sc.Bytes()[brace:])}
		if err := json.Unmarshal([]byte(l.raw), &l); err != nil {
			unread++
			continue
		}
		if !l.dated() {
			unread++
			continue
		}
		lines = append(lines, l)
	}
	return lines, unread, errors.Wrap(sc.Err(), "read log")
}

// dated sets when the line was written and reports whether that is known. Events
// that were taken from a node and not from its log have only the clock that travels
// with calls.
func (l *logLine) dated() bool {
	at, err := time.Parse(time.RFC3339Nano, l.Time)
	if err == nil {
		l.at = at
		return true
	}
	l.at = l.HLC.Time()
	return l.Time == "" && l.HLC != 0
}
