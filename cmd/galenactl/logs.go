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

// logLine is one line of a node's log. Its event is empty unless Kind is set.
type logLine struct {
	timeline.Event
	Level   string `json:"level"`
	Time    string `json:"time"`
	Message string `json:"message"`
	Result  string `json:"result,omitempty"`
	Ran     string `json:"ran,omitempty"`
	// RoutesVersion is the version of the routes in force at the node when it wrote the line.
	RoutesVersion int64 `json:"routes_version,omitempty"`
	// Member is the other node that the line is about; empty if there is none.
	Member string `json:"member,omitempty"`
	// at is the parsed Time, or the time of the HLC when the line has no Time.
	at time.Time
	// raw is the JSON of the line, for lines that are no events.
	raw string
}

// readLogs reads the log files at paths, or stdin when there are none. skipped counts the lines that
// could not be read as log lines.
func readLogs(paths []string, stdin io.Reader) (lines []logLine, skipped int, err error) {
	if len(paths) == 0 {
		return readLog(stdin)
	}
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, 0, err
		}
		fileLines, fileSkipped, err := readLog(f)
		f.Close()
		if err != nil {
			return nil, 0, errors.WithMessage(err, path)
		}
		lines = append(lines, fileLines...)
		skipped += fileSkipped
	}
	return lines, skipped, nil
}

// readLog reads lines of JSON. Text before the first brace of a line, such as the prefix of a log
// collector, is ignored. skipped counts the lines without valid JSON or a time.
func readLog(r io.Reader) (lines []logLine, skipped int, err error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 4096), timeline.MaxLineBytes)
	for sc.Scan() {
		brace := bytes.IndexByte(sc.Bytes(), '{')
		if brace < 0 {
			skipped++
			continue
		}
		l := logLine{raw: string(sc.Bytes()[brace:])}
		if err := json.Unmarshal([]byte(l.raw), &l); err != nil {
			skipped++
			continue
		}
		if !l.parseTime() {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	return lines, skipped, errors.Wrap(sc.Err(), "read log")
}

// parseTime sets at and reports whether the time of the line is known. Events that were fetched from a
// node instead of its log carry no Time, only the hybrid logical clock (HLC).
func (l *logLine) parseTime() bool {
	at, err := time.Parse(time.RFC3339Nano, l.Time)
	if err == nil {
		l.at = at
		return true
	}
	l.at = l.HLC.Time()
	return l.Time == "" && l.HLC != 0
}
