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

// issue writes an identity and the authority's certificate into dir.
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

// exchange reports what the client reads from a server that greets after the
// handshake, and the serial number of the server's certificate.
func exchange(t *testing.T, server, client *tls.Config) (serial *big.Int, err error) {
	t.Helper()
	ln, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go greet(ln)
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

func greet(ln net.Listener) {
	c, err := ln.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	_, _ = c.Write([]byte("ok"))
}

func TestPeerWithoutGoodCertificateGetsNothing(t *testing.T) {
	ours, theirs := newAuthority(t, "ours"), newAuthority(t, "theirs")
	server := mustLoad(t, ours.issue(t, t.TempDir()))
	good := mustLoad(t, ours.issue(t, t.TempDir()))
	foreignOptions := theirs.issue(t, t.TempDir())
	foreignOptions.CA = server.o.CA // trusts the server, is not trusted itself
	foreign := mustLoad(t, foreignOptions)

	if _, err := exchange(t, server.ServerConfig(), good.ClientConfig()); err != nil {
		t.Fatalf("good peer: %v", err)
	}
	if _, err := exchange(t, server.ServerConfig(), foreign.ClientConfig()); err == nil {
		t.Fatal("a peer of a foreign authority was served")
	}
	if _, err := exchange(t, server.ServerConfig(), &tls.Config{InsecureSkipVerify: true}); err == nil {
		t.Fatal("a peer without a certificate was served")
	}
	stranger := mustLoad(t, theirs.issue(t, t.TempDir()))
	if _, err := exchange(t, stranger.ServerConfig(), good.ClientConfig()); err == nil {
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
	serial, err := exchange(t, server.ServerConfig(), client.ClientConfig())
	if err != nil || serial.Cmp(renewed) != 0 {
		t.Fatalf("after the change: serial %d, error %v; want the new one", serial, err)
	}

	if err := os.WriteFile(o.Cert, []byte("half a file"), 0o600); err != nil {
		t.Fatal(err)
	}
	now = now.Add(checkInterval)
	serial, err = exchange(t, server.ServerConfig(), client.ClientConfig())
	if err != nil || serial.Cmp(renewed) != 0 {
		t.Fatalf("with a broken file: serial %d, error %v; want the former one", serial, err)
	}
}
