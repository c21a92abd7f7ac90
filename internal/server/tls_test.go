package server

import (
	"crypto/tls"
	"net/http"
	"testing"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/admin"
	"github.com/galenagrade/galenagrade/internal/admin/adminpb"
	"github.com/galenagrade/galenagrade/internal/certs"
	"github.com/galenagrade/galenagrade/internal/certs/certstest"
	"github.com/galenagrade/galenagrade/internal/settings"
)

// Guards against an inner listener that accepts connections without a client certificate, and
// against calls that fail when all listeners use TLS.
func TestAllListenersOverTLS(t *testing.T) {
	cluster := newTestCluster(t)
	ca := certstest.New(t, t.TempDir(), "ca")
	secure := func(name string, serial int64) func(*settings.Node) {
		inner := ca.Issue(name, serial)
		outer := inner
		outer.CAFile = ""
		return func(c *settings.Node) { c.Callers.TLS, c.Inner.TLS, c.Admin.TLS = &outer, &inner, &outer }
	}
	a, b := cluster.start("letters-1", secure("a", 2)), cluster.start("archive-1", secure("b", 3))
	cluster.announceUpstream(b, "archive", http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { _, _ = rw.Write([]byte("hull")) }))
	cluster.awaitTargets("archive", 1, a, b)

	pool, err := certs.LoadCAPool(ca.File)
	must.NoError(t, err)
	tr := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, ForceAttemptHTTP2: true}
	t.Cleanup(tr.CloseIdleConnections)
	cluster.http = &http.Client{Transport: tr}
	callersAddr, _, innerAddr, adminAddr := a.Addresses()
	cluster.scheme = "https"
	cluster.publishInstance(a, "archive")
	st, err := admin.NewClient(cluster.http, "https://"+adminAddr, "view").Status(t.Context(), connect.NewRequest(&adminpb.StatusRequest{}))
	must.NoError(t, err)
	must.Eq(t, 1, int(st.Msg.NodesInForce))

	req, err := http.NewRequest(http.MethodGet, "https://"+callersAddr+"/x", nil)
	must.NoError(t, err)
	req.Header.Set("Galena-Workspace", "chikugo")
	req.Header.Set("Galena-Service", "archive")
	status, _, body := cluster.do(req)
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, "hull", string(body))
	must.Positive(t, a.peers.Open())

	req, err = http.NewRequest(http.MethodGet, "https://"+innerAddr+reportPath, nil)
	must.NoError(t, err)
	_, err = cluster.http.Do(req)
	must.Error(t, err)
}

// Guards against a start error that does not name the setting with the faulty certificate.
func TestStartNamesTheFaultyCertificate(t *testing.T) {
	cfg := testSettings("a")
	cfg.Admin.TLS = &settings.TLS{CertFile: "/nonexistent.pem", KeyFile: "/nonexistent.pem"}
	_, err := Start(cfg, Options{})
	must.ErrorContains(t, err, "admin.tls")
}
