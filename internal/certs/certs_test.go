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

// handshake connects a client of one set of files to a server of another and
// returns the serial number that the server showed.
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
		conn := tls.Server(raw, server.Server())
		defer conn.Close()
		if err = conn.Handshake(); err == nil {
			_, err = conn.Write([]byte("x"))
		}
		served <- err
	}()
	conn, err := client.Client((&net.Dialer{}).DialContext)(context.Background(), "tcp", l.Addr().String())
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

// Guards against a renewed certificate that needs a restart, or breaks connections beside its old key.
func TestNewFilesAreTakenUp(t *testing.T) {
	ca := certstest.New(t, t.TempDir(), "inner")
	names := ca.Issue("node", 10)
	var faults []error
	server := load(t, names, func(err error) { faults = append(faults, err) })
	at := time.Now()
	server.now = func() time.Time { return at }
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
	at = at.Add(2 * checkEvery)
	serial, err = handshake(t, server, client)
	must.NoError(t, err)
	must.Eq(t, 10, serial)
	must.Len(t, 1, faults)

	must.NoError(t, os.WriteFile(names.KeyFile, newKey, 0o600))
	at = at.Add(2 * checkEvery)
	serial, err = handshake(t, server, client)
	must.NoError(t, err)
	must.Eq(t, 20, serial)
}

// Guards against a stranger's certificate being let in on either side of a connection.
func TestAnotherCAIsRefusedOnBothSides(t *testing.T) {
	dir := t.TempDir()
	ours, theirs := certstest.New(t, dir, "ours"), certstest.New(t, dir, "theirs")
	good := load(t, ours.Issue("node", 1), nil)
	bad := load(t, theirs.Issue("other", 2), nil)
	_, err := handshake(t, bad, good)
	var op *net.OpError
	must.True(t, errors.As(err, &op))
	must.Eq(t, "dial", op.Op)
	trusting := theirs.Issue("stranger", 3)
	trusting.CAFile = ours.File
	_, err = handshake(t, good, load(t, trusting, nil))
	must.Error(t, err)
}

func TestFaultyFilesAreNamed(t *testing.T) {
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
