package certs

import (
	"crypto/tls"
	"io"
	"math/big"
	"net"
	"os"
	"testing"
	"time"
)

func newAuthority(t *testing.T, name string) *Authority {
	t.Helper()
	a, err := CreateAuthority(t.TempDir(), name)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// issue writes an identity and the authority's certificate to dir.
func (a *Authority) issue(t *testing.T, dir string) Options {
	t.Helper()
	o, err := a.Issue(dir, "process")
	if err != nil {
		t.Fatal(err)
	}
	if err := writePEM(o.CA, "CERTIFICATE", a.cert.Raw); err != nil {
		t.Fatal(err)
	}
	return o
}

func mustLoad(t *testing.T, o Options) *Identity {
	t.Helper()
	i, err := Load(o)
	if err != nil {
		t.Fatal(err)
	}
	return i
}

// handshake connects client to server, reads the greeting that the server writes after the
// handshake, and returns the serial number of the server's certificate.
func handshake(t *testing.T, server, client *tls.Config) (serial *big.Int, err error) {
	t.Helper()
	ln, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go serveGreeting(ln)
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c := tls.Client(conn, client)
	defer c.Close()
	if _, err := io.ReadFull(c, make([]byte, 2)); err != nil {
		return nil, err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber, nil
}

func serveGreeting(ln net.Listener) {
	c, err := ln.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	_, _ = c.Write([]byte("ok"))
}

func TestPeerWithoutGoodCertificateGetsNothing(t *testing.T) {
	authority, otherAuthority := newAuthority(t, "ours"), newAuthority(t, "theirs")
	server := mustLoad(t, authority.issue(t, t.TempDir()))
	trusted := mustLoad(t, authority.issue(t, t.TempDir()))
	untrustedOptions := otherAuthority.issue(t, t.TempDir())
	untrustedOptions.CA = server.o.CA // trusts the server, but the server does not trust it
	untrusted := mustLoad(t, untrustedOptions)

	if _, err := handshake(t, server.ServerConfig(), trusted.ClientConfig()); err != nil {
		t.Fatalf("peer of the same authority: %v", err)
	}
	if _, err := handshake(t, server.ServerConfig(), untrusted.ClientConfig()); err == nil {
		t.Fatal("a peer of a foreign authority was served")
	}
	if _, err := handshake(t, server.ServerConfig(), &tls.Config{InsecureSkipVerify: true}); err == nil {
		t.Fatal("a peer without a certificate was served")
	}
	otherServer := mustLoad(t, otherAuthority.issue(t, t.TempDir()))
	if _, err := handshake(t, otherServer.ServerConfig(), trusted.ClientConfig()); err == nil {
		t.Fatal("the client accepted a server of a foreign authority")
	}
}

func TestReloadOnChange(t *testing.T) {
	a := newAuthority(t, "ours")
	dir := t.TempDir()
	o := a.issue(t, dir)
	now := time.Now()
	o.Now = func() time.Time { return now }
	server := mustLoad(t, o)
	client := mustLoad(t, a.issue(t, t.TempDir()))

	renewed := mustLoad(t, a.issue(t, dir)).cert.Leaf.SerialNumber
	later := time.Now().Add(time.Minute)
	for _, name := range []string{o.Cert, o.Key} {
		if err := os.Chtimes(name, later, later); err != nil {
			t.Fatal(err)
		}
	}
	now = now.Add(checkInterval)
	serial, err := handshake(t, server.ServerConfig(), client.ClientConfig())
	if err != nil || serial.Cmp(renewed) != 0 {
		t.Fatalf("after the change: serial %d, error %v; want the new serial", serial, err)
	}

	if err := os.WriteFile(o.Cert, []byte("half a file"), 0o600); err != nil {
		t.Fatal(err)
	}
	now = now.Add(checkInterval)
	serial, err = handshake(t, server.ServerConfig(), client.ClientConfig())
	if err != nil || serial.Cmp(renewed) != 0 {
		t.Fatalf("with a broken file: serial %d, error %v; want the previous serial", serial, err)
	}
}
