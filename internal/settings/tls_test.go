package settings

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// testCA is a certificate authority for 127.0.0.1.
type testCA struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

func newTestCA(t *testing.T) *testCA {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a := &testCA{t: t, key: key, file: filepath.Join(t.TempDir(), "ca.pem")}
	a.cert = &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true}
	writePEM(t, a.file, "CERTIFICATE", a.sign(a.cert, key))
	return a
}

func (a *testCA) sign(c *x509.Certificate, key *ecdsa.PrivateKey) []byte {
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	return der
}

// newPort returns the settings of a port with a new certificate.
func (a *testCA) newPort(ca string) *Port {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	dir := a.t.TempDir()
	p := &Port{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: ca}
	writePEM(a.t, p.Cert, "CERTIFICATE", a.sign(c, key))
	writePEM(a.t, p.Key, "PRIVATE KEY", private)
	return p
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestTLSHandshake(t *testing.T) {
	own, other := newTestCA(t), newTestCA(t)
	clientConfig := func(p *Port) *tls.Config {
		c, err := p.ClientConfig()
		if err != nil {
			t.Fatal(err)
		}
		c.ServerName = "127.0.0.1"
		return c
	}
	anonymous := clientConfig(own.newPort(own.file))
	anonymous.Certificates = nil
	wrongAddr := clientConfig(own.newPort(own.file))
	wrongAddr.ServerName = "127.0.0.2"
	cases := []struct {
		name   string
		server *Port
		client *tls.Config
		ok     bool
	}{
		{"mutual", own.newPort(own.file), clientConfig(own.newPort(own.file)), true},
		{"no client certificate", own.newPort(own.file), anonymous, false},
		{"client of another authority", own.newPort(own.file), clientConfig(other.newPort(own.file)), false},
		{"server of another authority", other.newPort(own.file), clientConfig(own.newPort(own.file)), false},
		{"another IP address", own.newPort(own.file), wrongAddr, false},
		{"no client certificate needed", own.newPort(""), anonymous, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			config, err := c.server.ServerConfig()
			if err != nil {
				t.Fatal(err)
			}
			if err := handshake(t, config, c.client); (err == nil) != c.ok {
				t.Errorf("got %v", err)
			}
		})
	}
}

// handshake connects over loopback and returns the client's error. The server
// sends one byte, because with TLS 1.3 its rejection of a certificate arrives
// after the client's part of the handshake.
func handshake(t *testing.T, server, client *tls.Config) error {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Write([]byte{1})
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = conn.Read(make([]byte, 1))
	return err
}

func TestTLSReportsBadFiles(t *testing.T) {
	a := newTestCA(t)
	noPEM := filepath.Join(t.TempDir(), "x")
	if err := os.WriteFile(noPEM, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, p := range map[string]*Port{
		"no such certificate": {Cert: "none", Key: "none"},
		"no such CA":          a.newPort("none"),
		"CA isn't a PEM file": a.newPort(noPEM),
	} {
		if _, err := p.ServerConfig(); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	plain := &Port{Plain: true}
	if c, err := plain.ServerConfig(); c != nil || err != nil {
		t.Errorf("plain: got %v, %v", c, err)
	}
}
