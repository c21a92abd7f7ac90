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

// print writes v as JSON or the table, as --output says. Messages are written
// by encoding/json along their generated tags: their 64-bit versions then stay
// numbers, which the JSON of protobuf would quote.
func (a *app) print(v any, t *table) error {
	if !a.json {
		return t.write(a.stdout)
	}
	enc := json.NewEncoder(a.stdout)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return errors.Wrap(enc.Encode(v), "write output")
}

// table is rows of text under a heading.
type table struct {
	heading []string
	rows    [][]string
	// notes follow the table, one a line.
	notes []string
}

func newTable(heading ...string) *table { return &table{heading: heading} }

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

// cell keeps a row on one line: what nodes report may hold anything.
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

// indent lays a JSON document out; one that isn't JSON stays as it is.
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
