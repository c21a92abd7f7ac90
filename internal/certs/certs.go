// Package certs provides TLS for servers and clients with certificates from files, and reloads
// changed files without a restart.
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

	"github.com/galenagrade/galenagrade/internal/conns"
	"github.com/galenagrade/galenagrade/internal/settings"
)

// recheckInterval is the minimum time between checks for changed files. A check costs three stat
// calls, at most once per second.
const recheckInterval = time.Second

// Files contains the certificate, key and CA of one listener and reloads them from their files.
// Safe for concurrent use.
type Files struct {
	config settings.TLS
	// onError is called if changed files cannot be loaded. The previous credentials stay in use.
	onError func(error)
	now     func() time.Time

	mu        sync.Mutex
	lastCheck time.Time
	versions  [3]fileVersion
	creds     credentials
}

// credentials contains the content of the files when they were last loaded without an error.
type credentials struct {
	cert *tls.Certificate
	pool *x509.CertPool // nil without a CA file
}

// fileVersion identifies the content of a file.
type fileVersion struct {
	modTime time.Time
	size    int64
}

// Load reads the files. onError is called if changed files cannot be loaded later; it may be nil.
func Load(config settings.TLS, onError func(error)) (*Files, error) {
	f := &Files{config: config, onError: onError, now: time.Now}
	versions, err := f.statFiles()
	if err != nil {
		return nil, err
	}
	if f.creds, err = f.readFiles(); err != nil {
		return nil, err
	}
	f.versions = versions
	f.lastCheck = f.now()
	return f, nil
}

func (f *Files) paths() []string {
	paths := []string{f.config.CertFile, f.config.KeyFile}
	if f.config.CAFile != "" {
		paths = append(paths, f.config.CAFile)
	}
	return paths
}

// statFiles returns the versions of the files in the order of paths.
func (f *Files) statFiles() (versions [3]fileVersion, err error) {
	for i, path := range f.paths() {
		info, err := os.Stat(path)
		if err != nil {
			return versions, errors.Wrap(err, "check certificate files")
		}
		versions[i] = fileVersion{info.ModTime(), info.Size()}
	}
	return versions, nil
}

func (f *Files) readFiles() (credentials, error) {
	cert, err := tls.LoadX509KeyPair(f.config.CertFile, f.config.KeyFile)
	if err != nil {
		return credentials{}, errors.Wrapf(err, "load cert_file %s with key_file %s", f.config.CertFile, f.config.KeyFile)
	}
	creds := credentials{cert: &cert}
	if f.config.CAFile == "" {
		return creds, nil
	}
	if creds.pool, err = LoadCAPool(f.config.CAFile); err != nil {
		return credentials{}, err
	}
	return creds, nil
}

// LoadCAPool reads the certificates of a CA file in PEM format.
func LoadCAPool(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read ca_file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("ca_file %s holds no PEM certificate", path)
	}
	return pool, nil
}

// current returns the current credentials. It first reloads the files if they have changed, at most
// once per recheckInterval. Operators replace a certificate and its key one after the other. Until
// the two files match, loading fails and the old pair stays in use.
func (f *Files) current() credentials {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if now.Sub(f.lastCheck) < recheckInterval {
		return f.creds
	}
	f.lastCheck = now
	versions, err := f.statFiles()
	if err == nil && versions == f.versions {
		return f.creds
	}
	if err == nil {
		var renewed credentials
		if renewed, err = f.readFiles(); err == nil {
			f.creds, f.versions = renewed, versions
		}
	}
	if err != nil && f.onError != nil {
		f.onError(err)
	}
	return f.creds
}

// ServerConfig returns the TLS configuration of a listener. With a CA file, it requires a client
// certificate signed by a CA of that file.
func (f *Files) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			creds := f.current()
			c := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				NextProtos:   protocols,
				Certificates: []tls.Certificate{*creds.cert},
			}
			if creds.pool != nil {
				c.ClientAuth = tls.RequireAndVerifyClientCert
				c.ClientCAs = creds.pool
			}
			return c, nil
		},
	}
}

// WrapDial returns a dial function that connects with dial and performs a TLS handshake. It presents the
// client certificate and verifies the server's certificate against the CA file, or against the
// system's CAs if there is no CA file. The server's certificate must contain the dialled host or IP.
//
// A failed handshake is returned as a *net.OpError of a failed dial. No part of the request was sent
// at that point, so callers may treat the call as not executed, as after any failed dial.
func (f *Files) WrapDial(dial conns.DialFunc) conns.DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		creds := f.current()
		conn := tls.Client(raw, &tls.Config{
			MinVersion:   tls.VersionTLS12,
			ServerName:   host,
			RootCAs:      creds.pool,
			Certificates: []tls.Certificate{*creds.cert},
		})
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, &net.OpError{Op: "dial", Net: network, Err: errors.Wrap(err, "TLS handshake")}
		}
		return conn, nil
	}
}
