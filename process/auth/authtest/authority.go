// SPDX-License-Identifier: MIT

// Package authtest creates certificates for tests.
package authtest

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

	"gotest.tools/v3/assert"
)

// Authority signs certificates.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates a certificate authority that is valid for an hour.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &Authority{cert: cert, key: key}
}

// Write creates a certificate for 127.0.0.1 that expires after validity. It
// writes the certificate, its key and the authority to files in dir, and returns
// their paths.
func (a *Authority) Write(t testing.TB, dir string, validity time.Duration) (cert, key, authority string) {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "instance"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(validity), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &k.PublicKey, a.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(k)
	assert.NilError(t, err)
	assert.NilError(t, os.MkdirAll(dir, 0o700))
	writePEM := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return path
	}
	return writePEM("cert.pem", "CERTIFICATE", der), writePEM("key.pem", "PRIVATE KEY", keyDER), writePEM("authority.pem", "CERTIFICATE", a.cert.Raw)
}
