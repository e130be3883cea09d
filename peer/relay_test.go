package peer_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// selfSignedCertificate returns a self-signed certificate, as any process
// without a key can create.
func selfSignedCertificate(t *testing.T) tls.Certificate {
	t.Helper()
	check := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	check.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotAfter:     time.Now().Add(time.Hour),
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	check.NoErr(err)
	return tls.Certificate{
		Certificate: [][]byte{raw},
		PrivateKey:  key,
	}
}

// startRelay starts a man in the middle between a client and the server at
// target: it terminates TLS on both sides and forwards all bytes unchanged.
func startRelay(t *testing.T, target string) net.Listener {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{
		Certificates: []tls.Certificate{selfSignedCertificate(t)},
		MinVersion:   tls.VersionTLS13,
	})
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		serverConn, err := tls.Dial("tcp", target, &tls.Config{
			// The relay does not verify the server.
			InsecureSkipVerify: true,
			MinVersion:         tls.VersionTLS13,
		})
		if err != nil {
			return
		}
		defer serverConn.Close()
		go func() { _, _ = io.Copy(serverConn, conn) }()
		_, _ = io.Copy(conn, serverConn)
	}()
	return listener
}
