// SPDX-License-Identifier: MIT

package auth

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/juju/errors"
)

// Identity holds an instance's certificate and the certificate authority of all
// instances. The files are read again when they change.
type Identity struct {
	file watchedFiles[*keyMaterial]
}

// keyMaterial is the parsed content of the files.
type keyMaterial struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// OpenIdentity reads a certificate, its key and the certificate authority from
// PEM files.
func OpenIdentity(cert, key, authority string) (*Identity, error) {
	i := &Identity{file: watchedFiles[*keyMaterial]{paths: []string{cert, key, authority}, read: readKeyMaterial}}
	_, err := i.file.get()
	return i, err
}

func readKeyMaterial(paths []string) (*keyMaterial, error) {
	cert, err := tls.LoadX509KeyPair(paths[0], paths[1])
	if err != nil {
		return nil, errors.Annotate(err, "certificate and key")
	}
	pem, err := os.ReadFile(paths[2])
	if err != nil {
		return nil, errors.Annotate(err, "authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("authority: no certificate in %s", paths[2])
	}
	return &keyMaterial{cert: cert, pool: pool}, nil
}

// ServerConfig returns the TLS configuration of a listener. If mutual is set,
// clients must present a certificate of the authority.
func (i *Identity) ServerConfig(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m, err := i.file.get()
			if m == nil {
				return nil, err
			}
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.cert}, NextProtos: []string{"h2", "http/1.1"}}
			if mutual {
				c.ClientAuth = tls.RequireAndVerifyClientCert
				c.ClientCAs = m.pool
			}
			return c, nil
		},
	}
}

// ClientConfig returns the TLS configuration for connections to other instances.
// Their certificates must be signed by the authority and name the address that
// is dialled.
func (i *Identity) ClientConfig() (*tls.Config, error) {
	m, err := i.file.get()
	if m == nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    m.pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			m, err := i.file.get()
			if m == nil {
				return nil, err
			}
			return &m.cert, nil
		},
	}, nil
}
