// Package certs serves and dials TLS with certificates from files, and takes
// up new files without a restart.
package certs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/settings"
)

// checkEvery is how often, at most, files are looked at: a handshake a second
// pays for three calls of stat.
const checkEvery = time.Second

// Files are the certificate, key and CA of one listener. Safe for concurrent
// use.
type Files struct {
	names settings.TLS
	// onError hears of new files that can't be used; the old ones stay.
	onError func(error)
	now     func() time.Time

	mu      sync.Mutex
	checked time.Time
	stamps  [3]stamp
	loaded  loaded
}

// loaded is what the files held when they were last good.
type loaded struct {
	cert *tls.Certificate
	pool *x509.CertPool // nil without a CA file
}

// stamp tells one content of a file from the next.
type stamp struct {
	modified time.Time
	size     int64
}

// Load reads the files; onError may be nil.
func Load(names settings.TLS, onError func(error)) (*Files, error) {
	f := &Files{names: names, onError: onError, now: time.Now}
	stamps, err := f.stampAll()
	if err != nil {
		return nil, err
	}
	if f.loaded, err = f.read(); err != nil {
		return nil, err
	}
	f.stamps = stamps
	f.checked = f.now()
	return f, nil
}

func (f *Files) paths() []string {
	list := []string{f.names.CertFile, f.names.KeyFile}
	if f.names.CAFile != "" {
		list = append(list, f.names.CAFile)
	}
	return list
}

func (f *Files) stampAll() (stamps [3]stamp, err error) {
	for i, path := range f.paths() {
		info, err := os.Stat(path)
		if err != nil {
			return stamps, errors.Wrap(err, "certificate file")
		}
		stamps[i] = stamp{info.ModTime(), info.Size()}
	}
	return stamps, nil
}

func (f *Files) read() (loaded, error) {
	cert, err := tls.LoadX509KeyPair(f.names.CertFile, f.names.KeyFile)
	if err != nil {
		return loaded{}, errors.Wrapf(err, "cert_file %s with key_file %s", f.names.CertFile, f.names.KeyFile)
	}
	l := loaded{cert: &cert}
	if f.names.CAFile == "" {
		return l, nil
	}
	if l.pool, err = Pool(f.names.CAFile); err != nil {
		return loaded{}, err
	}
	return l, nil
}

// Pool reads a CA file.
func Pool(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "ca_file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("ca_file %s holds no PEM certificate", path)
	}
	return pool, nil
}

// current returns what is in force, after a look at the files. A certificate
// and its key are replaced one after the other: between the two they don't
// match, and the old pair stays until they do.
func (f *Files) current() loaded {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if now.Sub(f.checked) < checkEvery {
		return f.loaded
	}
	f.checked = now
	stamps, err := f.stampAll()
	if err == nil && stamps == f.stamps {
		return f.loaded
	}
	if err == nil {
		var fresh loaded
		if fresh, err = f.read(); err == nil {
			f.loaded, f.stamps = fresh, stamps
		}
	}
	if err != nil && f.onError != nil {
		f.onError(err)
	}
	return f.loaded
}

// Server returns the configuration of a listener. With a CA file clients must
// show a certificate that it signed.
func (f *Files) Server(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			l := f.current()
			c := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				NextProtos:   protocols,
				Certificates: []tls.Certificate{*l.cert},
			}
			if l.pool != nil {
				c.ClientAuth = tls.RequireAndVerifyClientCert
				c.ClientCAs = l.pool
			}
			return c, nil
		},
	}
}

// Dial makes connections.
type Dial = func(ctx context.Context, network, addr string) (net.Conn, error)

// Client returns dial with a handshake that shows the certificate and checks
// the other side's against the CA file, or the system's CAs without one. The
// certificate must name the host or IP dialled.
//
// A failed handshake is reported as a failed dial: nothing of a request was
// sent, so that a call which met it provably did not run.
func (f *Files) Client(dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		l := f.current()
		conn := tls.Client(raw, &tls.Config{
			MinVersion:   tls.VersionTLS12,
			ServerName:   host,
			RootCAs:      l.pool,
			Certificates: []tls.Certificate{*l.cert},
		})
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, &net.OpError{Op: "dial", Net: network, Err: errors.Wrap(err, "TLS handshake")}
		}
		return conn, nil
	}
}
