package identity

import (
	"crypto/tls"
	"crypto/x509"
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrUnexpectedPeer is returned when the other end is a valid daemon, but not
// one that may stand there.
var ErrUnexpectedPeer = errors.New("unexpected peer")

// TLSServer returns a configuration for mutual TLS 1.3 that accepts daemons of
// the given kinds; none for all. [PeerOfState] then tells who connected.
func TLSServer(p *Credentials, protocol string, kinds ...Kind) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return p.current().cert, nil
		},
		// The chain is checked in VerifyConnection, against the authorities
		// that the files hold at that time.
		ClientAuth: tls.RequireAnyClientCert,
		VerifyConnection: func(state tls.ConnectionState) error {
			peer, err := p.check(state, x509.ExtKeyUsageClientAuth)
			if err != nil {
				return err
			}
			if len(kinds) > 0 && !slices.Contains(kinds, peer.Kind) {
				return errors.Wrapf(ErrUnexpectedPeer, "%s", peer)
			}
			return nil
		},
	}
}

// TLSClient returns a configuration for mutual TLS 1.3 to one daemon. Names
// and addresses play no part: the identity in the certificate decides.
func TLSClient(p *Credentials, protocol string, want Peer) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		ServerName: want.Host,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return p.current().cert, nil
		},
		// VerifyConnection replaces the check by host name.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			peer, err := p.check(state, x509.ExtKeyUsageServerAuth)
			if err != nil {
				return err
			}
			if peer != want {
				return errors.Wrapf(ErrUnexpectedPeer, "%s in place of %s", peer, want)
			}
			return nil
		},
	}
}

// check verifies the other end's chain and returns its identity.
func (p *Credentials) check(state tls.ConnectionState, usage x509.ExtKeyUsage) (Peer, error) {
	if len(state.PeerCertificates) == 0 {
		return Peer{}, ErrNoIdentity
	}
	certs := state.PeerCertificates
	if err := verify(certs[0], certs[1:], p.current().pool, usage); err != nil {
		return Peer{}, err
	}
	return PeerOf(certs[0])
}

func verify(leaf *x509.Certificate, chain []*x509.Certificate, roots *x509.CertPool, usage x509.ExtKeyUsage) error {
	between := x509.NewCertPool()
	for _, c := range chain {
		between.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return err
}
