// Package certs loads TLS certificates from files and reloads them when they
// change, so that certificates are replaced without restarting a process.
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

// checkInterval is how often the files' modification times are looked at.
const checkInterval = time.Second

// Options names the files of one TLS identity.
type Options struct {
	// Cert and Key are PEM files of the own certificate chain and its key.
	Cert string
	Key  string
	// CA is a PEM file of the authorities that peers' certificates must chain
	// to. Empty means that peers are not asked for a certificate.
	CA string
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Identity is a TLS identity that follows its files.
type Identity struct {
	o Options

	mu      sync.Mutex
	checked time.Time
	stamps  [3]time.Time
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// Load reads the files once and fails when any of them is unusable, so that a
// process with a bad certificate does not start.
func Load(o Options) (*Identity, error) {
	if o.Cert == "" || o.Key == "" {
		return nil, Error.New("both a certificate and a key file are needed")
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	i := &Identity{o: o}
	if err := i.reload(); err != nil {
		return nil, err
	}
	i.checked = o.Now()
	return i, nil
}

// ServerConfig returns the configuration of a listening side. With a CA, a peer
// without a certificate that chains to it gets nothing.
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

// ClientConfig returns the configuration of a dialling side. Peers are known by
// IP address, so the chain to the CA is verified in place of a host name.
func (i *Identity) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The standard check is replaced, not left out: VerifyConnection
		// below verifies the chain against the CA as it is now.
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
		return Error.New("no CA file to verify the peer against")
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

// current returns the identity, reloading changed files at most once per
// checkInterval. Files that are unusable half-way through a replacement leave
// the former identity in force.
func (i *Identity) current() (*tls.Certificate, *x509.CertPool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.o.Now()
	if now.Sub(i.checked) >= checkInterval {
		i.checked = now
		if i.stamps != i.readStamps() {
			_ = i.reload()
		}
	}
	return i.cert, i.pool
}

func (i *Identity) reload() error {
	stamps := i.readStamps()
	cert, err := tls.LoadX509KeyPair(i.o.Cert, i.o.Key)
	if err != nil {
		return Error.Wrap(err)
	}
	pool, err := i.loadCA()
	if err != nil {
		return err
	}
	i.stamps = stamps
	i.cert = &cert
	i.pool = pool
	return nil
}

func (i *Identity) loadCA() (*x509.CertPool, error) {
	if i.o.CA == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(i.o.CA)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, Error.New("%s holds no certificate", i.o.CA)
	}
	return pool, nil
}

func (i *Identity) readStamps() (stamps [3]time.Time) {
	for n, name := range []string{i.o.Cert, i.o.Key, i.o.CA} {
		if info, err := os.Stat(name); err == nil {
			stamps[n] = info.ModTime()
		}
	}
	return stamps
}
