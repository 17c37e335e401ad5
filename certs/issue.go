package certs

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// Names of the files that CreateAuthority writes.
const (
	AuthorityCert = "ca.pem"
	AuthorityKey  = "ca-key.pem"
)

const (
	// authorityValidity and identityValidity are the lifetimes of certificates.
	authorityValidity = 10 * 365 * 24 * time.Hour
	identityValidity  = 365 * 24 * time.Hour
	// backdate moves the start of the validity into the past, for peers whose clocks run behind.
	backdate = time.Hour
	// serialBits is the length of random serial numbers in bits.
	serialBits = 120
	// fileMode makes key files inaccessible to other users.
	fileMode = 0o600
)

// Authority is a certificate authority that signs the identities of a fleet's processes.
type Authority struct {
	cert *x509.Certificate
	key  crypto.Signer
}

// CreateAuthority creates an authority and writes its certificate and key to dir. It fails if dir
// holds an authority already.
func CreateAuthority(dir, name string) (*Authority, error) {
	if _, err := os.Stat(filepath.Join(dir, AuthorityKey)); err == nil {
		return nil, Error.New("%s holds an authority already", dir)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	template, err := newTemplate(name, authorityValidity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Authority{cert: cert, key: key}, writeKeyPair(filepath.Join(dir, AuthorityCert), filepath.Join(dir, AuthorityKey), der, key)
}

// LoadAuthority reads the authority that CreateAuthority wrote to dir.
func LoadAuthority(dir string) (*Authority, error) {
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, AuthorityCert), filepath.Join(dir, AuthorityKey))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	key, ok := pair.PrivateKey.(crypto.Signer)
	if !ok {
		return nil, Error.New("the private key of the authority does not support signing")
	}
	return &Authority{cert: pair.Leaf, key: key}, nil
}

// Issue creates an identity for a process and writes it to dir as NAME.pem and NAME-key.pem.
// The addresses of the process are required if its clients verify host names.
func (a *Authority) Issue(dir, name string, addresses ...net.IP) (Options, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Options{}, Error.Wrap(err)
	}
	template, err := newTemplate(name, identityValidity)
	if err != nil {
		return Options{}, err
	}
	template.IPAddresses = addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return Options{}, Error.Wrap(err)
	}
	o := Options{
		Cert: filepath.Join(dir, name+".pem"),
		Key:  filepath.Join(dir, name+"-key.pem"),
		CA:   filepath.Join(dir, AuthorityCert),
	}
	return o, writeKeyPair(o.Cert, o.Key, der, key)
}

func newTemplate(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(validity),
	}, nil
}

func writeKeyPair(certFile, keyFile string, der []byte, key crypto.Signer) error {
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := writePEM(keyFile, "PRIVATE KEY", keyDER); err != nil {
		return err
	}
	return writePEM(certFile, "CERTIFICATE", der)
}

func writePEM(file, blockType string, der []byte) error {
	block := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	return Error.Wrap(os.WriteFile(file, block, fileMode))
}
