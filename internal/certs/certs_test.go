package certs

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/certs/certstest"
	"github.com/galenagrade/galenagrade/internal/settings"
)

// handshake connects a client to a server and returns the serial number of the server's certificate.
func handshake(t *testing.T, server, client *Files) (int64, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	served := make(chan error, 1)
	go func() {
		raw, err := l.Accept()
		if err != nil {
			served <- err
			return
		}
		conn := tls.Server(raw, server.ServerConfig())
		defer conn.Close()
		if err = conn.Handshake(); err == nil {
			_, err = conn.Write([]byte("x"))
		}
		served <- err
	}()
	conn, err := client.WrapDial((&net.Dialer{}).DialContext)(context.Background(), "tcp", l.Addr().String())
	if err != nil {
		<-served
		return 0, err
	}
	defer conn.Close()
	serial := conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	var b [1]byte
	if _, err := conn.Read(b[:]); err != nil {
		<-served
		return serial, err
	}
	return serial, <-served
}

func load(t *testing.T, names settings.TLS, onError func(error)) *Files {
	f, err := Load(names, onError)
	must.NoError(t, err)
	return f
}

// Guards against a renewed certificate that takes effect only after a restart, and against failing
// handshakes while the new certificate is in place but its key file is still the old one.
func TestRenewedFilesAreReloaded(t *testing.T) {
	ca := certstest.New(t, t.TempDir(), "inner")
	names := ca.Issue("node", 10)
	var loadErrors []error
	server := load(t, names, func(err error) { loadErrors = append(loadErrors, err) })
	now := time.Now()
	server.now = func() time.Time { return now }
	client := load(t, ca.Issue("peer", 11), nil)
	serial, err := handshake(t, server, client)
	must.NoError(t, err)
	must.Eq(t, 10, serial)

	oldKey, err := os.ReadFile(names.KeyFile)
	must.NoError(t, err)
	ca.Issue("node", 20)
	newKey, err := os.ReadFile(names.KeyFile)
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(names.KeyFile, oldKey, 0o600))
	now = now.Add(2 * recheckInterval)
	serial, err = handshake(t, server, client)
	must.NoError(t, err)
	must.Eq(t, 10, serial)
	must.Len(t, 1, loadErrors)

	must.NoError(t, os.WriteFile(names.KeyFile, newKey, 0o600))
	now = now.Add(2 * recheckInterval)
	serial, err = handshake(t, server, client)
	must.NoError(t, err)
	must.Eq(t, 20, serial)
}

// Guards against accepting a certificate of a foreign CA on the client or on the server side.
func TestCertificateOfOtherCAIsRejectedOnBothSides(t *testing.T) {
	dir := t.TempDir()
	ours, theirs := certstest.New(t, dir, "ours"), certstest.New(t, dir, "theirs")
	ourNode := load(t, ours.Issue("node", 1), nil)
	theirNode := load(t, theirs.Issue("other", 2), nil)
	_, err := handshake(t, theirNode, ourNode)
	var op *net.OpError
	must.True(t, errors.As(err, &op))
	must.Eq(t, "dial", op.Op)
	foreignClient := theirs.Issue("stranger", 3)
	foreignClient.CAFile = ours.File
	_, err = handshake(t, ourNode, load(t, foreignClient, nil))
	must.Error(t, err)
}

// Guards against load errors that don't name the missing or invalid file.
func TestLoadErrorNamesFaultyFile(t *testing.T) {
	dir := t.TempDir()
	names := certstest.New(t, dir, "x").Issue("node", 1)
	missing := names
	missing.KeyFile = dir + "/none.pem"
	_, err := Load(missing, nil)
	must.ErrorContains(t, err, "none.pem")
	noCA := names
	noCA.CAFile = names.KeyFile
	_, err = Load(noCA, nil)
	must.ErrorContains(t, err, "ca_file")
}
