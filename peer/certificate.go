package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"time"
)

// certificateLifetime exceeds the lifetime of any process; a certificate is never stored.
const certificateLifetime = 10 * 365 * 24 * time.Hour

// newServerTLS returns a TLS configuration with a new self-signed certificate.
// The certificate does not authenticate the server; the handshake after TLS
// does, with a shared key bound to the connection.
func newServerTLS() (*tls.Config, error) {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotAfter:     time.Now().Add(certificateLifetime),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, privateKey.Public(), privateKey)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		Certificates: []tls.Certificate{{
			Certificate: [][]byte{der},
			PrivateKey:  privateKey,
		}},
		SessionTicketsDisabled: true,
	}, nil
}

// newClientTLS returns a TLS configuration that accepts any certificate. An
// impostor fails in the handshake after TLS, since it cannot compute the MAC
// of this connection without the shared key.
func newClientTLS() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true,
	}
}
