package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// print writes v as JSON, or t as text, according to --output. Protobuf messages are encoded by
// encoding/json with their generated tags, so that 64-bit versions stay numbers; protojson would
// quote them.
func (a *app) print(v any, t *table) error {
	if !a.json {
		return t.write(a.stdout)
	}
	enc := json.NewEncoder(a.stdout)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return errors.Wrap(enc.Encode(v), "write output")
}

// table is a text table with a heading and notes.
type table struct {
	heading []string
	rows    [][]string
	// notes are printed below the table, one per line.
	notes []string
}

func newTable(heading ...string) *table { return &table{heading: heading} }

// row adds a row; each cell is formatted by cell.
func (t *table) row(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = cell(c)
	}
	t.rows = append(t.rows, row)
}

func (t *table) note(format string, args ...any) {
	t.notes = append(t.notes, fmt.Sprintf(format, args...))
}

func (t *table) write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(t.heading) > 0 && len(t.rows) > 0 {
		fmt.Fprintln(tw, strings.Join(t.heading, "\t"))
	}
	for _, r := range t.rows {
		fmt.Fprintln(tw, strings.Join(r, "\t"))
	}
	if err := tw.Flush(); err != nil {
		return errors.Wrap(err, "write output")
	}
	for _, n := range t.notes {
		fmt.Fprintln(w, n)
	}
	return nil
}

// cell formats v for a table. Control characters become spaces, since text that nodes report may
// contain line breaks; an empty text becomes "-".
func cell(v any) string {
	s := fmt.Sprint(v)
	if s == "" {
		return "-"
	}
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, s)
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// indent returns doc as indented JSON, or unchanged when it is not valid JSON.
func indent(doc string) string {
	var sb strings.Builder
	enc := json.NewEncoder(&sb)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	if err := enc.Encode(json.RawMessage(doc)); err != nil {
		return doc
	}
	return strings.TrimSuffix(sb.String(), "\n")
}
