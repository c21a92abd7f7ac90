package metrics

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
)

// TextHandler serves the numbers as text, a line "name value" for each, in the
// order of the names; a number with several fields has a line for each. refresh is
// called before, for gauges that are set at reading.
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
			fmt.Fprintf(&out, "%s %v\n", fieldName(name, field), fields[field])
		}
	}
	return out.String()
}

// fieldName puts the field before the label. Counters and gauges have one field,
// which goes without saying.
func fieldName(name, field string) string {
	if field == "value" || field == "count" {
		return name
	}
	base, label, labelled := strings.Cut(name, "{")
	if labelled {
		return base + "." + field + "{" + label
	}
	return base + "." + field
}
