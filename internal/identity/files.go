package identity

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Files names the PEM files of an identity.
type Files struct {
	CA, Cert, Key string
}

// checkInterval is the least time between two looks at the files.
const checkInterval = time.Second

// Credentials is a certificate, its key and the authorities that it trusts. It reads
// its files again when they change; a broken new file leaves the last good
// state in force. It is safe for concurrent use.
type Credentials struct {
	files Files

	mu      sync.Mutex
	loaded  loaded
	stamp   stamp
	checked time.Time
	err     error
}

type loaded struct {
	cert *tls.Certificate
	pool *x509.CertPool
	self Peer
}

// stamp tells a changed set of files from an unchanged one.
type stamp [3]struct {
	modified time.Time
	size     int64
}

// LoadCredentials reads an identity. The certificate must be signed by the CA and
// carry an identity.
func LoadCredentials(files Files) (*Credentials, error) {
	st, err := stampOf(files)
	if err != nil {
		return nil, err
	}
	l, err := load(files)
	if err != nil {
		return nil, err
	}
	return &Credentials{files: files, loaded: l, stamp: st, checked: time.Now()}, nil
}

// Err returns why the newest files could not be read, or nil.
func (p *Credentials) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

func (p *Credentials) current() loaded {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); now.Sub(p.checked) >= checkInterval {
		p.checked = now
		p.reload()
	}
	return p.loaded
}

func (p *Credentials) reload() {
	st, err := stampOf(p.files)
	if err != nil {
		p.err = err
		return
	}
	if st == p.stamp {
		return
	}
	l, err := load(p.files)
	p.err = err
	if err != nil {
		// The files may be half replaced; the stamp stays so that the next
		// look tries again.
		return
	}
	p.loaded, p.stamp = l, st
}

func stampOf(files Files) (stamp, error) {
	var st stamp
	for i, name := range []string{files.CA, files.Cert, files.Key} {
		info, err := os.Stat(name)
		if err != nil {
			return stamp{}, errors.Wrap(err, "identity")
		}
		st[i].modified, st[i].size = info.ModTime(), info.Size()
	}
	return st, nil
}

func load(files Files) (loaded, error) {
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return loaded{}, errors.Wrap(err, "identity")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return loaded{}, errors.Newf("identity: %s holds no certificate", files.CA)
	}
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return loaded{}, errors.Wrapf(err, "identity: %s", files.Cert)
	}
	self, err := PeerOf(cert.Leaf)
	if err != nil {
		return loaded{}, errors.Wrapf(err, "identity: %s", files.Cert)
	}
	chain, err := x509.ParseCertificates(slices.Concat(cert.Certificate[1:]...))
	if err != nil {
		return loaded{}, errors.Wrapf(err, "identity: %s", files.Cert)
	}
	if err := verify(cert.Leaf, chain, pool, x509.ExtKeyUsageClientAuth); err != nil {
		return loaded{}, errors.Wrapf(err, "identity: %s", files.Cert)
	}
	return loaded{cert: &cert, pool: pool, self: self}, nil
}
