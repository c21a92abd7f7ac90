package metrics

import (
	"encoding/json"
	"net/http"
	"strings"
)

// Path is the URL path at which the admin listener serves the metrics.
const Path = "/metrics"

// Handler returns a handler that serves all metrics as one JSON object, sorted by name. The query
// parameter prefix selects the metrics whose name starts with it.
func (s *Set) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			w.Header().Set("Allow", "GET, HEAD")
			http.Error(w, "use GET", http.StatusMethodNotAllowed)
			return
		}
		body, err := json.Marshal(s.values(r.URL.Query().Get("prefix")))
		if err != nil {
			http.Error(w, "encode metrics: "+err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(append(body, '\n'))
	})
}

func (s *Set) values(prefix string) map[string]map[string]any {
	all := s.registry.GetAll()
	for name := range all {
		if !strings.HasPrefix(name, prefix) {
			delete(all, name)
		}
	}
	return all
}
