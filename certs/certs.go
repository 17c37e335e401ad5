// Package certs issues TLS certificates, loads them from files and reloads them when the files
// change, so that certificates can be replaced without restarting a process.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("certs")

// checkInterval is the minimum time between two checks of the files' modification times.
const checkInterval = time.Second

// Options names the files of a TLS identity.
type Options struct {
	// Cert and Key are PEM files with the certificate chain of this process and its private key.
	Cert string
	Key  string
	// CA is a PEM file with the certificate authorities that peers' certificates must chain to.
	// If it is empty, a server requests no certificate from its clients.
	CA string
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Identity is a TLS identity that is reloaded when its files change.
type Identity struct {
	o Options

	mu        sync.Mutex
	lastCheck time.Time
	modTimes  [3]time.Time
	cert      *tls.Certificate
	pool      *x509.CertPool
}

// Load reads the files. It fails if any of them is unusable, so that a process with a bad
// certificate does not start.
func Load(o Options) (*Identity, error) {
	if o.Cert == "" || o.Key == "" {
		return nil, Error.New("both a certificate file and a key file are required")
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	i := &Identity{o: o}
	if err := i.reload(); err != nil {
		return nil, err
	}
	i.lastCheck = o.Now()
	return i, nil
}

// ServerConfig returns the TLS configuration of a server. If a CA is configured, the handshake
// fails for clients without a certificate that chains to it.
func (i *Identity) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := i.current()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}}
			if pool != nil {
				c.ClientAuth = tls.RequireAndVerifyClientCert
				c.ClientCAs = pool
			}
			return c, nil
		},
	}
}

// ClientConfig returns the TLS configuration of a client. Peers are known by IP address, so the
// chain to the CA is verified instead of a host name.
func (i *Identity) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// This disables only the standard verification: VerifyConnection below verifies the
		// chain against the CA that is loaded at the time of the handshake.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := i.current()
			return cert, nil
		},
		VerifyConnection: i.verifyPeer,
	}
}

func (i *Identity) verifyPeer(s tls.ConnectionState) error {
	_, pool := i.current()
	if pool == nil {
		return Error.New("cannot verify the peer: no CA file is configured")
	}
	if len(s.PeerCertificates) == 0 {
		return Error.New("the peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: pool, Intermediates: intermediates})
	return Error.Wrap(err)
}

// current returns the certificate and the CA pool. It reloads changed files, at most once per
// checkInterval. If the files are unusable because they are just being replaced, the previous
// identity stays in use.
func (i *Identity) current() (*tls.Certificate, *x509.CertPool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.o.Now()
	if now.Sub(i.lastCheck) >= checkInterval {
		i.lastCheck = now
		if i.modTimes != i.readModTimes() {
			_ = i.reload()
		}
	}
	return i.cert, i.pool
}

func (i *Identity) reload() error {
	modTimes := i.readModTimes()
	cert, err := tls.LoadX509KeyPair(i.o.Cert, i.o.Key)
	if err != nil {
		return Error.Wrap(err)
	}
	pool, err := i.loadCA()
	if err != nil {
		return err
	}
	i.modTimes = modTimes
	i.cert = &cert
	i.pool = pool
	return nil
}

func (i *Identity) loadCA() (*x509.CertPool, error) {
	if i.o.CA == "" {
		return nil, nil
	}
	data, err := os.ReadFile(i.o.CA)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, Error.New("%s contains no PEM certificate", i.o.CA)
	}
	return pool, nil
}

func (i *Identity) readModTimes() (modTimes [3]time.Time) {
	for n, name := range []string{i.o.Cert, i.o.Key, i.o.CA} {
		if info, err := os.Stat(name); err == nil {
			modTimes[n] = info.ModTime()
		}
	}
	return modTimes
}
