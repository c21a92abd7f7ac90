// Package certstest creates certificates for tests.
package certstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/settings"
)

// CA is a certificate authority that issues certificates for 127.0.0.1.
type CA struct {
	t    testing.TB
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	// File is the path of the CA certificate.
	File string
}

// New creates a CA with the given common name and writes its certificate to dir.
func New(t testing.TB, dir, name string) *CA {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	must.NoError(t, err)
	ca := &CA{t: t, cert: cert, key: key, File: filepath.Join(dir, name+"-ca.pem")}
	writePEM(t, ca.File, "CERTIFICATE", der)
	return ca
}

// Issue creates a certificate with the given serial number. It writes certificate and key to
// name.pem and name-key.pem in the directory of the CA, replacing existing files, and returns the
// paths of these files and of the CA.
func (ca *CA) Issue(name string, serial int64) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(ca.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.cert, &key.PublicKey, ca.key)
	must.NoError(ca.t, err)
	raw, err := x509.MarshalECPrivateKey(key)
	must.NoError(ca.t, err)
	dir := filepath.Dir(ca.File)
	names := settings.TLS{
		CertFile: filepath.Join(dir, name+".pem"),
		KeyFile:  filepath.Join(dir, name+"-key.pem"),
		CAFile:   ca.File,
	}
	writePEM(ca.t, names.CertFile, "CERTIFICATE", der)
	writePEM(ca.t, names.KeyFile, "EC PRIVATE KEY", raw)
	return names
}

func writePEM(t testing.TB, path, blockType string, der []byte) {
	block := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	must.NoError(t, os.WriteFile(path, block, 0o600))
}
