// This file creates the TLS configuration of the HTTP/3 servers, with a self-signed certificate.

package quicserver

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/quic-go/quic-go/http3"

	"github.com/burlmill/burlmill/fault"
)

const (
	certificateName     = "burlmill"
	certificateLifetime = 10 * 365 * 24 * time.Hour
	clockTolerance      = 24 * time.Hour // maximum lag of callers' clocks
)

// SelfSigned returns a TLS configuration for HTTP/3 with a newly generated
// self-signed certificate, which is kept in memory only. Errors are of kind
// fault.Internal.
func SelfSigned(now time.Time) (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "generate key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: certificateName},
		DNSNames:     []string{certificateName},
		NotBefore:    now.Add(-clockTolerance),
		NotAfter:     now.Add(certificateLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "create certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{encoded}, PrivateKey: key}},
		NextProtos:   []string{http3.NextProtoH3},
		MinVersion:   tls.VersionTLS13,
	}, nil
}
