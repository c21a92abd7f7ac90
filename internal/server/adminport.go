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

// adminHandler serves operators: the administration API and the metrics.
func (s *Server) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(admin.NewHandler(s.backend, s.tokens, s.recordRefusedAccess))
	mux.Handle(metrics.Path, s.metricsHandler())
	return mux
}

// recordRefusedAccess puts a refused operator's call on the time line and counts it.
func (s *Server) recordRefusedAccess(r admin.RefusedAccess) {
	s.recordRefusal(r.Name, r.Workspace, r.Procedure+" from "+r.Peer+": "+r.Reason)
}

func (s *Server) recordRefusal(name, workspace, detail string) {
	s.metrics.Inc(metrics.AuthRefused, 1)
	if name != "" {
		detail = name + ": " + detail
	}
	s.node.Event(s.node.Now(), timeline.Event{Kind: timeline.AuthRefused, Workspace: workspace, Detail: detail})
	s.logger.Warn().Str("workspace", workspace).Str("detail", detail).Msg("access refused")
}

// requireToken refuses callers without a token of role caller for their
// workspace, where the settings ask for one. The token is not passed on: it is
// this node's, not the upstream's.
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
			reason = "no token that this node knows"
		case id.Role != settings.RoleCaller:
			reason = "the token's role is " + string(id.Role) + ", needs caller"
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
