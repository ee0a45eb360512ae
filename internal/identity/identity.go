// Package identity manages the certificates with which the daemons authenticate
// each other: a certificate authority for each deployment, a certificate for each
// host, and the TLS configurations that verify them.
//
// A host's certificate carries its identity as a URI subject alternative name,
// verbenaspur://entry/HOST or verbenaspur://side/HOST.
package identity

import (
	"crypto/tls"
	"crypto/x509"
	"net/url"

	"github.com/cockroachdb/errors"
)

const scheme = "verbenaspur"

// Kind is the kind of a daemon.
type Kind string

// Kinds of daemons.
const (
	KindEntry Kind = "entry"
	KindSide  Kind = "side"
)

// Peer is the identity of a daemon.
type Peer struct {
	Kind Kind
	Host string
}

// String returns the identity in its URI form, as in the certificate.
func (p Peer) String() string { return p.uri().String() }

func (p Peer) uri() *url.URL {
	return &url.URL{Scheme: scheme, Host: string(p.Kind), Path: "/" + p.Host}
}

// ErrNoIdentity is returned for a certificate that does not contain exactly one
// valid identity.
var ErrNoIdentity = errors.New("certificate has no verbenaspur identity")

// PeerOf returns the identity in a certificate. It does not verify the signature.
func PeerOf(cert *x509.Certificate) (Peer, error) {
	if len(cert.URIs) != 1 {
		return Peer{}, ErrNoIdentity
	}
	return parse(cert.URIs[0])
}

// PeerOfState returns the identity of the peer of a completed handshake. It does
// not verify the signature.
func PeerOfState(state tls.ConnectionState) (Peer, error) {
	if len(state.PeerCertificates) == 0 {
		return Peer{}, ErrNoIdentity
	}
	return PeerOf(state.PeerCertificates[0])
}

// parse returns the identity in a URI.
func parse(u *url.URL) (Peer, error) {
	p := Peer{Kind: Kind(u.Host)}
	if u.Scheme != scheme || len(u.Path) < 2 {
		return Peer{}, ErrNoIdentity
	}
	p.Host = u.Path[1:]
	if p.Kind != KindEntry && p.Kind != KindSide {
		return Peer{}, ErrNoIdentity
	}
	return p, nil
}
