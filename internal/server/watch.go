package server

import (
	"net/http"
)

// metricsHandler brings the gauges up to date when the metrics are read:
// nothing is measured that nobody asks for.
func (s *Server) metricsHandler() http.Handler { return s.metrics.Handler() }
