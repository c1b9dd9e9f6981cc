package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// ServerConfig returns the TLS configuration of a listener, or nil when the
// port is plain. With a CA, clients must present a certificate.
func (p *Port) ServerConfig() (*tls.Config, error) {
	return p.config(func(c *tls.Config, pool *x509.CertPool) {
		if pool != nil {
			c.ClientCAs = pool
			c.ClientAuth = tls.RequireAndVerifyClientCert
		}
	})
}

// ClientConfig returns the TLS configuration of an outgoing connection, or
// nil when the port is plain. The server's certificate must be valid for the
// dialed IP address.
func (p *Port) ClientConfig() (*tls.Config, error) {
	return p.config(func(c *tls.Config, pool *x509.CertPool) { c.RootCAs = pool })
}

// config returns the configuration common to both ends, with the CA set by
// setCA.
func (p *Port) config(setCA func(*tls.Config, *x509.CertPool)) (*tls.Config, error) {
	if p.Plain {
		return nil, nil
	}
	cert, pool, err := p.load()
	if err != nil {
		return nil, err
	}
	c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}}
	setCA(c, pool)
	return c, nil
}

func (p *Port) load() (tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.LoadX509KeyPair(p.Cert, p.Key)
	if err != nil {
		return cert, nil, errors.Wrapf(err, "load %s and %s; check that they are a PEM certificate and its key", p.Cert, p.Key)
	}
	if p.CA == "" {
		return cert, nil, nil
	}
	pem, err := os.ReadFile(p.CA)
	if err != nil {
		return cert, nil, errors.Wrap(err, "load the CA; check the path")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return cert, nil, errors.Errorf("%s contains no certificate; name a PEM file", p.CA)
	}
	return cert, pool, nil
}
