package ctl

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/client"
)

// CallerPort holds the arguments of commands that use the caller port.
type CallerPort struct {
	Addr string `arg:"--caller,env:NUTMEGCTL_CALLER" placeholder:"IP:PORT" help:"caller port of an instance or of the balancer"`
	TLSFlags
}

// TLSFlags holds the TLS arguments of a connection.
type TLSFlags struct {
	Plain bool   `arg:"--plain,env:NUTMEGCTL_PLAIN" help:"connect without TLS"`
	CA    string `arg:"--ca,env:NUTMEGCTL_CA" placeholder:"FILE" help:"PEM file of the authority that signed the server's certificate"`
	Cert  string `arg:"--cert,env:NUTMEGCTL_CERT" placeholder:"FILE" help:"PEM file of the client certificate"`
	Key   string `arg:"--key-file,env:NUTMEGCTL_KEY_FILE" placeholder:"FILE" help:"PEM file of the client certificate's key"`
}

// TLSConfig returns the TLS configuration, nil for a plain connection.
func (t *TLSFlags) TLSConfig() (*tls.Config, error) {
	if t.Plain {
		return nil, nil
	}
	c := &tls.Config{MinVersion: tls.VersionTLS13}
	if t.CA != "" {
		pem, err := os.ReadFile(t.CA)
		if err != nil {
			return nil, usageError("--ca: %v", err)
		}
		c.RootCAs = x509.NewCertPool()
		if !c.RootCAs.AppendCertsFromPEM(pem) {
			return nil, usageError("--ca: %s holds no certificate", t.CA)
		}
	}
	if t.Cert != "" || t.Key != "" {
		pair, err := tls.LoadX509KeyPair(t.Cert, t.Key)
		if err != nil {
			return nil, usageError("--cert and --key-file: %v", err)
		}
		c.Certificates = []tls.Certificate{pair}
	}
	return c, nil
}

func (p *CallerPort) client() (*client.Client, error) {
	if p.Addr == "" {
		return nil, usageError("--caller is missing; write IP:port, or set NUTMEGCTL_CALLER")
	}
	config, err := p.TLSConfig()
	if err != nil {
		return nil, err
	}
	c, err := client.New(client.Options{Addr: p.Addr, TLS: config})
	if err != nil {
		return nil, &ExitError{Code: ExitUsage, Err: errors.WithMessage(err, "--caller")}
	}
	return c, nil
}

// operatorTimeout limits each call to the operator port.
const operatorTimeout = 10 * time.Second

// OperatorPort holds the arguments of commands that use the operator port.
type OperatorPort struct {
	Addr      string `arg:"--operator,env:NUTMEGCTL_OPERATOR" placeholder:"IP:PORT" help:"operator port of an instance"`
	TokenFile string `arg:"--token-file,env:NUTMEGCTL_TOKEN_FILE" placeholder:"FILE" help:"file that holds the operator's token"`
	TLSFlags
}

// connect returns an HTTP client for the port and its base URL.
func (p *OperatorPort) connect() (*http.Client, string, error) {
	addr, err := netip.ParseAddrPort(p.Addr)
	if err != nil {
		return nil, "", usageError("--operator is %q; write IP:port, or set NUTMEGCTL_OPERATOR", p.Addr)
	}
	config, err := p.TLSConfig()
	if err != nil {
		return nil, "", err
	}
	scheme := "https"
	if config == nil {
		scheme = "http"
	}
	transport := &http.Transport{TLSClientConfig: config}
	return &http.Client{Transport: transport, Timeout: operatorTimeout}, scheme + "://" + addr.String(), nil
}

// Token returns the operator's token, empty without a token file.
func (p *OperatorPort) Token() (string, error) {
	if p.TokenFile == "" {
		return "", nil
	}
	data, err := os.ReadFile(p.TokenFile)
	if err != nil {
		return "", usageError("--token-file: %v", err)
	}
	return strings.TrimSpace(string(data)), nil
}
