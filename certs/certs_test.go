package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T, name string) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{key: key, cert: cert}
}

// issue writes cert.pem, key.pem and ca.pem of a new identity into dir.
func (a *authority) issue(t *testing.T, dir string, serial int64) Options {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	o := Options{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	writePEM(t, o.Cert, "CERTIFICATE", der)
	writePEM(t, o.Key, "EC PRIVATE KEY", keyDER)
	writePEM(t, o.CA, "CERTIFICATE", a.cert.Raw)
	return o
}

func writePEM(t *testing.T, name, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
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
func exchange(t *testing.T, server, client *tls.Config) (serial int64, err error) {
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
		return 0, err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
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
	server := mustLoad(t, ours.issue(t, t.TempDir(), 2))
	good := mustLoad(t, ours.issue(t, t.TempDir(), 3))
	foreignOptions := theirs.issue(t, t.TempDir(), 4)
	foreignOptions.CA = server.o.CA // trusts the server, is not trusted itself
	foreign := mustLoad(t, foreignOptions)

	if _, err := exchange(t, server.Server(), good.Client()); err != nil {
		t.Fatalf("good peer: %v", err)
	}
	if _, err := exchange(t, server.Server(), foreign.Client()); err == nil {
		t.Fatal("a peer of a foreign authority was served")
	}
	if _, err := exchange(t, server.Server(), &tls.Config{InsecureSkipVerify: true}); err == nil {
		t.Fatal("a peer without a certificate was served")
	}
	stranger := mustLoad(t, theirs.issue(t, t.TempDir(), 5))
	if _, err := exchange(t, stranger.Server(), good.Client()); err == nil {
		t.Fatal("the client accepted a server of a foreign authority")
	}
}

func TestReloadOnChange(t *testing.T) {
	a := newAuthority(t, "ours")
	dir := t.TempDir()
	o := a.issue(t, dir, 2)
	now := time.Now()
	o.Now = func() time.Time { return now }
	server := mustLoad(t, o)
	client := mustLoad(t, a.issue(t, t.TempDir(), 3))

	a.issue(t, dir, 7)
	later := time.Now().Add(time.Minute)
	for _, name := range []string{o.Cert, o.Key} {
		if err := os.Chtimes(name, later, later); err != nil {
			t.Fatal(err)
		}
	}
	now = now.Add(checkInterval)
	serial, err := exchange(t, server.Server(), client.Client())
	if err != nil || serial != 7 {
		t.Fatalf("after the change: serial %d, error %v; want 7, nil", serial, err)
	}

	if err := os.WriteFile(o.Cert, []byte("half a file"), 0o600); err != nil {
		t.Fatal(err)
	}
	now = now.Add(checkInterval)
	serial, err = exchange(t, server.Server(), client.Client())
	if err != nil || serial != 7 {
		t.Fatalf("with a broken file: serial %d, error %v; want the former 7, nil", serial, err)
	}
}
