package identity

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Files are the paths of the PEM files of a daemon's credentials.
type Files struct {
	CA, Cert, Key string
}

// checkInterval is the shortest time between two checks whether the files have
// changed.
const checkInterval = time.Second

// Credentials are a certificate, its key and the trusted certificate authorities.
// They are reloaded when their files change. If the changed files are invalid, the
// last valid state stays in use, and the error is logged. Credentials are safe for
// concurrent use.
type Credentials struct {
	files Files
	log   *slog.Logger

	mu       sync.Mutex
	state    credentialState
	versions fileVersions
	checked  time.Time
	// err is why the newest files could not be read, or nil.
	err error
}

// credentialState is the content of the credentials' files.
type credentialState struct {
	cert  *tls.Certificate
	roots *x509.CertPool
	self  Peer
}

// fileVersions are the modification times and sizes by which changes of the
// files are detected.
type fileVersions [3]struct {
	modified time.Time
	size     int64
}

// LoadCredentials reads credentials from files. The certificate must be signed by
// the CA and contain an identity.
func LoadCredentials(files Files, log *slog.Logger) (*Credentials, error) {
	versions, err := statFiles(files)
	if err != nil {
		return nil, err
	}
	state, err := load(files)
	if err != nil {
		return nil, err
	}
	return &Credentials{files: files, log: log, state: state, versions: versions, checked: time.Now()}, nil
}

// current returns the credentials, after reloading them if the files have changed.
func (c *Credentials) current() credentialState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checked) >= checkInterval {
		c.checked = now
		c.reload()
	}
	return c.state
}

// reload reads the files if they have changed.
func (c *Credentials) reload() {
	versions, err := statFiles(c.files)
	if err != nil {
		c.setErr(err)
		return
	}
	if versions == c.versions {
		c.setErr(nil)
		return
	}
	state, err := load(c.files)
	c.setErr(err)
	if err != nil {
		// Only some of the files may have been replaced yet. The versions are
		// not updated, so that the next check reads the files again.
		return
	}
	c.state, c.versions = state, versions
	c.log.Info("identity: certificate files reloaded", "serial", state.cert.Leaf.SerialNumber.String())
}

// setErr records the result of the last check, and logs the first error of a series.
func (c *Credentials) setErr(err error) {
	if err != nil && c.err == nil {
		c.log.Warn("identity: changed certificate files can't be used, the earlier ones stay in use", "reason", err.Error())
	}
	c.err = err
}

func statFiles(files Files) (fileVersions, error) {
	var versions fileVersions
	for i, name := range []string{files.CA, files.Cert, files.Key} {
		info, err := os.Stat(name)
		if err != nil {
			return fileVersions{}, errors.Wrap(err, "identity")
		}
		versions[i].modified, versions[i].size = info.ModTime(), info.Size()
	}
	return versions, nil
}

func load(files Files) (credentialState, error) {
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return credentialState{}, errors.Wrap(err, "identity")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return credentialState{}, errors.Newf("identity: %s contains no certificate", files.CA)
	}
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return credentialState{}, errors.Wrapf(err, "identity: %s", files.Cert)
	}
	self, err := PeerOf(cert.Leaf)
	if err != nil {
		return credentialState{}, errors.Wrapf(err, "identity: %s", files.Cert)
	}
	chain, err := x509.ParseCertificates(slices.Concat(cert.Certificate[1:]...))
	if err != nil {
		return credentialState{}, errors.Wrapf(err, "identity: %s", files.Cert)
	}
	if err := verify(cert.Leaf, chain, pool, x509.ExtKeyUsageClientAuth); err != nil {
		return credentialState{}, errors.Wrapf(err, "identity: %s", files.Cert)
	}
	return credentialState{cert: &cert, roots: pool, self: self}, nil
}
