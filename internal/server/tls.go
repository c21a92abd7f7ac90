package server

import (
	"net"
	"net/http"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/certs"
	"github.com/galenagrade/galenagrade/internal/settings"
)

// certificates are the certificates of the listeners; nil means cleartext.
type certificates struct{ callers, inner, admin *certs.Files }

func (s *Server) loadCerts() error {
	for _, l := range []struct {
		into   **certs.Files
		field  string
		config *settings.TLS
	}{
		{&s.certs.callers, "callers.tls", s.cfg.Callers.TLS},
		{&s.certs.inner, "inner.tls", s.cfg.Inner.TLS},
		{&s.certs.admin, "admin.tls", s.cfg.Admin.TLS},
	} {
		if l.config == nil {
			continue
		}
		files, err := certs.Load(*l.config, func(err error) {
			s.logger.Warn().Err(err).Str("field", l.field).Msg("new certificate files can't be used, the old ones stay")
		})
		if err != nil {
			return errors.WithMessage(err, l.field)
		}
		*l.into = files
	}
	return nil
}

// securePeers makes connections to other nodes use TLS when the inner listener of this node
// does.
func (s *Server) securePeers() {
	if s.certs.inner == nil {
		return
	}
	s.peers.UseTLS(s.certs.inner.WrapDial)
}

// serveOn serves cleartext or TLS. Nodes connect to each other without ALPN, so their TLS
// connections use HTTP/1.1. Such a connection carries one call at a time, so an unresponsive
// connection affects one call at most.
func serveOn(srv *http.Server, l net.Listener, files *certs.Files) error {
	if files == nil {
		return srv.Serve(l)
	}
	protocols := []string{"h2", "http/1.1"}
	if srv.Protocols != nil && !srv.Protocols.HTTP2() {
		protocols = protocols[1:]
	}
	srv.TLSConfig = files.ServerConfig(protocols...)
	return srv.ServeTLS(l, "", "")
}
