package identity

import (
	"crypto/tls"
	"crypto/x509"
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrUnexpectedPeer is returned if the peer has a valid certificate, but is not a
// daemon that is allowed on the connection.
var ErrUnexpectedPeer = errors.New("unexpected peer")

// TLSServer returns a configuration for mutual TLS 1.3 that accepts daemons of
// the given kinds, or of all kinds if none is given. After the handshake,
// [PeerOfState] returns which daemon has connected.
func TLSServer(c *Credentials, protocol string, kinds ...Kind) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.current().cert, nil
		},
		// VerifyConnection verifies the chain against the authorities that the
		// files contain at that time.
		ClientAuth: tls.RequireAnyClientCert,
		VerifyConnection: func(state tls.ConnectionState) error {
			peer, err := c.check(state, x509.ExtKeyUsageClientAuth)
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

// TLSClient returns a configuration for mutual TLS 1.3 to one daemon. It verifies
// the identity in the certificate and no host name or address.
func TLSClient(c *Credentials, protocol string, want Peer) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		ServerName: want.Host,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return c.current().cert, nil
		},
		// VerifyConnection replaces verification by host name.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			peer, err := c.check(state, x509.ExtKeyUsageServerAuth)
			if err != nil {
				return err
			}
			if peer != want {
				return errors.Wrapf(ErrUnexpectedPeer, "got %s, want %s", peer, want)
			}
			return nil
		},
	}
}

// check verifies the certificate chain of the peer and returns its identity.
func (c *Credentials) check(state tls.ConnectionState, usage x509.ExtKeyUsage) (Peer, error) {
	if len(state.PeerCertificates) == 0 {
		return Peer{}, ErrNoIdentity
	}
	certs := state.PeerCertificates
	if err := verify(certs[0], certs[1:], c.current().roots, usage); err != nil {
		return Peer{}, err
	}
	return PeerOf(certs[0])
}

func verify(leaf *x509.Certificate, chain []*x509.Certificate, roots *x509.CertPool, usage x509.ExtKeyUsage) error {
	intermediates := x509.NewCertPool()
	for _, c := range chain {
		intermediates.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return err
}
