package server

import (
	"net/http"

	"github.com/galenagrade/galenagrade/internal/admin"
	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/settings"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

// adminHandler returns the handler of the admin port: the administration API and the metrics.
func (s *Server) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(admin.NewHandler(s.backend, s.tokens, s.recordRefusedAccess))
	mux.Handle(metrics.Path, s.metricsHandler())
	return mux
}

// recordRefusedAccess adds a refused admin request to the timeline and counts it.
func (s *Server) recordRefusedAccess(r admin.RefusedAccess) {
	s.recordRefusal(r.Name, r.Workspace, r.Procedure+" from "+r.Peer+": "+r.Reason)
}

// recordRefusal counts, logs and adds to the timeline a request that was refused because of
// its token. name is the name of the token, empty when the token is unknown.
func (s *Server) recordRefusal(name, workspace, detail string) {
	s.metrics.Inc(metrics.AuthRefused, 1)
	if name != "" {
		detail = name + ": " + detail
	}
	s.node.Event(s.node.Now(), timeline.Event{Kind: timeline.AuthRefused, Workspace: workspace, Detail: detail})
	s.logger.Warn().Str("workspace", workspace).Str("detail", detail).Msg("request refused: its token is missing, unknown or grants too few rights")
}

// requireToken checks the bearer token of each request to next, if the settings require one. The
// token must have role caller and cover the workspace of the request; other requests are refused.
// requireToken removes the token from the request: the token is valid at this node only and must
// not reach the upstream.
func (s *Server) requireToken(next http.Handler) http.Handler {
	if !s.cfg.Callers.RequireToken {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		workspace := r.Header.Get(callctx.HeaderWorkspace)
		id, known := s.tokens.Lookup(admin.Bearer(r.Header.Get("Authorization")))
		reason := ""
		switch {
		case !known:
			reason = "the token is missing or unknown to this node"
		case id.Role != settings.RoleCaller:
			reason = "the token has role " + string(id.Role) + ", role caller is required"
		case !id.Covers(workspace):
			reason = "the token does not cover the workspace"
		}
		if reason != "" {
			s.metrics.Result(result.Unauthorized)
			s.recordRefusal(id.Name, workspace, "caller port from "+r.RemoteAddr+": "+reason)
			result.Refuse(result.Unauthorized, "%s", reason).Write(w, "")
			return
		}
		r.Header.Del("Authorization")
		next.ServeHTTP(w, r)
	})
}
