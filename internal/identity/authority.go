package identity

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
)

// File names of the authority's certificate and key in its directory.
const (
	CAFile    = "ca.pem"
	CAKeyFile = "ca-key.pem"
)

const (
	authorityValidity = 10 * 365 * 24 * time.Hour
	hostValidity      = 365 * 24 * time.Hour
	// clockSkew is how far the clock of a host may be behind the issuer's.
	clockSkew = 5 * time.Minute
	// serialBits is the length of a certificate's serial number in bits.
	serialBits = 120
)

// Authority is the certificate authority of one deployment. It signs the
// certificates of the deployment's hosts.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// OpenAuthority reads the authority in dir, and creates one if there is none.
func OpenAuthority(dir string) (*Authority, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "identity")
	}
	if _, err := os.Stat(filepath.Join(dir, CAKeyFile)); errors.Is(err, os.ErrNotExist) {
		return createAuthority(dir)
	}
	return readAuthority(dir)
}

func createAuthority(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "identity: generate CA key")
	}
	tmpl, err := template(authorityValidity)
	if err != nil {
		return nil, err
	}
	tmpl.Subject = pkix.Name{CommonName: "verbenaspur authority"}
	tmpl.IsCA = true
	tmpl.BasicConstraintsValid = true
	tmpl.MaxPathLenZero = true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	cert, err := sign(tmpl, tmpl, key, key)
	if err != nil {
		return nil, err
	}
	a := &Authority{dir: dir, cert: cert, key: key}
	return a, a.writePair(CAFile, CAKeyFile, cert, key)
}

func readAuthority(dir string) (*Authority, error) {
	certDER, err := readPEM(filepath.Join(dir, CAFile))
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(certDER)
	if err != nil {
		return nil, errors.Wrap(err, "identity: parse CA certificate")
	}
	keyDER, err := readPEM(filepath.Join(dir, CAKeyFile))
	if err != nil {
		return nil, err
	}
	key, err := x509.ParseECPrivateKey(keyDER)
	if err != nil {
		return nil, errors.Wrap(err, "identity: parse CA key")
	}
	return &Authority{dir: dir, cert: cert, key: key}, nil
}

// Issue creates a certificate and a key for a daemon and writes them to the
// authority's directory as HOST.pem and HOST-key.pem. Existing files are replaced.
func (a *Authority) Issue(p Peer, addrs ...netip.Addr) (Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, errors.Wrap(err, "identity: generate host key")
	}
	tmpl, err := template(hostValidity)
	if err != nil {
		return Files{}, err
	}
	tmpl.Subject = pkix.Name{CommonName: p.Host}
	tmpl.URIs = []*url.URL{p.uri()}
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, addr := range addrs {
		tmpl.IPAddresses = append(tmpl.IPAddresses, addr.AsSlice())
	}
	cert, err := sign(tmpl, a.cert, key, a.key)
	if err != nil {
		return Files{}, err
	}
	certFile, keyFile := p.Host+".pem", p.Host+"-key.pem"
	if err := a.writePair(certFile, keyFile, cert, key); err != nil {
		return Files{}, err
	}
	return Files{
		CA:   filepath.Join(a.dir, CAFile),
		Cert: filepath.Join(a.dir, certFile),
		Key:  filepath.Join(a.dir, keyFile),
	}, nil
}

// template returns a certificate with a serial number and validity period only.
func template(validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "identity: generate serial number")
	}
	now := time.Now()
	return &x509.Certificate{SerialNumber: serial, NotBefore: now.Add(-clockSkew), NotAfter: now.Add(validity)}, nil
}

func sign(tmpl, issuer *x509.Certificate, subject, signer *ecdsa.PrivateKey) (*x509.Certificate, error) {
	der, err := x509.CreateCertificate(rand.Reader, tmpl, issuer, subject.Public(), signer)
	if err != nil {
		return nil, errors.Wrap(err, "identity: create certificate")
	}
	return x509.ParseCertificate(der)
}

// writePair writes the key and then the certificate. Each file is replaced
// atomically, by a rename.
func (a *Authority) writePair(certName, keyName string, cert *x509.Certificate, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "identity: encode key")
	}
	if err := a.replaceFile(keyName, "EC PRIVATE KEY", der, 0o600); err != nil {
		return err
	}
	return a.replaceFile(certName, "CERTIFICATE", cert.Raw, 0o644)
}

// replaceFile writes a PEM file under a temporary name and renames it.
func (a *Authority) replaceFile(name, kind string, der []byte, mode os.FileMode) error {
	path := filepath.Join(a.dir, name)
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path+".new", b, mode); err != nil {
		return errors.Wrap(err, "identity")
	}
	return errors.Wrap(os.Rename(path+".new", path), "identity")
}

func readPEM(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "identity")
	}
	block, _ := pem.Decode(b)
	if block == nil {
		return nil, errors.Newf("identity: %s contains no PEM block", path)
	}
	return block.Bytes, nil
}
