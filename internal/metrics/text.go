package metrics

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
)

// TextHandler returns a handler that serves the metrics as text, one line "name value" per metric,
// sorted by name. A metric with several fields has one line per field. The handler calls refresh
// before it reads the metrics, to update gauges that are set on demand.
func (s *Set) TextHandler(refresh func()) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			w.Header().Set("Allow", "GET, HEAD")
			http.Error(w, "use GET", http.StatusMethodNotAllowed)
			return
		}
		refresh()
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = io.WriteString(w, s.text(r.URL.Query().Get("prefix")))
	})
}

func (s *Set) text(prefix string) string {
	values := s.values(prefix)
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(values)) {
		fields := values[name]
		for _, field := range slices.Sorted(maps.Keys(fields)) {
			fmt.Fprintf(&out, "%s %v\n", lineName(name, field), fields[field])
		}
	}
	return out.String()
}

// lineName returns the name of the line for one field of a metric: it inserts the field name before
// the label. Counters and gauges have only one field, whose name is omitted.
func lineName(name, field string) string {
	if field == "value" || field == "count" {
		return name
	}
	base, label, labelled := strings.Cut(name, "{")
	if labelled {
		return base + "." + field + "{" + label
	}
	return base + "." + field
}
