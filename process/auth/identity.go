// SPDX-License-Identifier: MIT

package auth

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/juju/errors"
)

// Identity is an instance's certificate and the authority of all instances.
type Identity struct {
	file watched[*material]
}

// material is what was read from the files.
type material struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// OpenIdentity reads certificate, key and authority from PEM files.
func OpenIdentity(cert, key, authority string) (*Identity, error) {
	i := &Identity{file: watched[*material]{paths: []string{cert, key, authority}, read: readMaterial}}
	_, err := i.file.get()
	return i, err
}

func readMaterial(paths []string) (*material, error) {
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
	return &material{cert: cert, pool: pool}, nil
}

// Server returns the settings of a listener that asks callers for a
// certificate of the authority, when mutual is set.
func (i *Identity) Server(mutual bool) *tls.Config {
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

// Client returns the settings for calls to another instance. Its certificate
// must be of the authority and name the address that is called.
func (i *Identity) Client() (*tls.Config, error) {
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
