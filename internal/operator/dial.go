package operator

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"
)

// NewTransport returns a transport that trusts the certificate authorities in
// caFile, or those of the system if caFile is empty.
func NewTransport(caFile string) (*http.Transport, error) {
	t := http.DefaultTransport.(*http.Transport).Clone()
	if caFile == "" {
		return t, nil
	}
	b, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "operator")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return nil, errors.Newf("operator: %s contains no certificate", caFile)
	}
	t.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return t, nil
}

// neverConnected reports whether a call failed before anything was sent.
func neverConnected(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	var unknown x509.UnknownAuthorityError
	var verify *tls.CertificateVerificationError
	return errors.As(err, &unknown) || errors.As(err, &verify)
}
