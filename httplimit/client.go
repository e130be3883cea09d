// Package httplimit builds HTTP clients that bound the time and size of answers and reject malformed ones.
package httplimit

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrTooLarge means that an answer exceeds the client's limit.
var ErrTooLarge = errors.New("answer too large")

// Config sets the limits of a client.
type Config struct {
	// Timeout bounds a whole call, body included.
	Timeout time.Duration
	// MaxBody bounds an answer's body, in bytes.
	MaxBody int64
	// MaxConnections bounds the connections to one host.
	MaxConnections int
}

// MaxHeaderBytes bounds the head of an answer, in bytes. Heads are below a kilobyte. The
// default of net/http is 10 MB: a few peers that send heads without end at once would fill the
// memory of a small node.
const MaxHeaderBytes = 64 << 10

// dialTimeout bounds only the connect, so that an unreachable address is
// distinguished from a slow one.
const dialTimeout = 2 * time.Second

// Keep-alive probes of an idle connection, and the time limit for sent data that is
// not acknowledged.
//
// A connection may go silent without a reset while new connections to the same peer
// work. A call that waits on it would hang until its own timeout. With a probe after
// a second and two more a second apart, the kernel closes an idle connection within
// three seconds. The kernel sends no probes while data waits for an acknowledgement.
// It retransmits with a growing interval instead, so that after a network cut of
// some seconds the connection stays silent for as long again. The user timeout
// closes such a connection.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	userTimeout       = 3 * time.Second
)

// DialAbortive dials a connection that is reset when it is closed.
//
// If a call is cancelled while its data waits for a network cut to end, the kernel
// continues to send the data after an ordinary close. Seconds later the peer would
// run a request whose caller has received an error, or accept an order from a node
// that no longer holds the duty. A reset discards data that was not sent.
func DialAbortive(ctx context.Context, dialer *net.Dialer, network, address string) (net.Conn, error) {
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return nil, errors.Join(err, conn.Close())
		}
	}
	return conn, nil
}

// Dialer returns a dialer whose connections are closed within seconds if the peer is
// silent.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket. It bounds how long sent data may
// stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, sockErr)
}

// NewClient returns a client with the limits of the configuration.
func NewClient(c Config) *http.Client {
	transport := &http.Transport{
		DialContext: Recorded(func(ctx context.Context, network, address string) (net.Conn, error) {
			return DialAbortive(ctx, Dialer(dialTimeout), network, address)
		}),
		MaxConnsPerHost:       c.MaxConnections,
		MaxIdleConnsPerHost:   c.MaxConnections,
		IdleConnTimeout:       30 * time.Second,
		ResponseHeaderTimeout: c.Timeout,

		MaxResponseHeaderBytes: MaxHeaderBytes,
		ForceAttemptHTTP2:      true,
	}
	return &http.Client{
		Timeout: c.Timeout,
		Transport: &limitedTransport{
			next:         NewStrictTransport(transport),
			maxBodyBytes: c.MaxBody,
		},
	}
}

// limitedTransport limits the size of answer bodies. A peer that never ends its
// answer would otherwise fill this node's memory. Cutting the read at the limit is
// enough because no caller continues to read after an error.
type limitedTransport struct {
	next         *StrictTransport
	maxBodyBytes int64
}

// RoundTrip implements http.RoundTripper.
func (l *limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := l.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	response.Body = &limitedBody{
		ReadCloser:     response.Body,
		remainingBytes: l.maxBodyBytes,
	}
	return response, nil
}

// CloseIdleConnections closes idle connections of the transport; http.Client calls it.
func (l *limitedTransport) CloseIdleConnections() { l.next.CloseIdleConnections() }

// limitedBody fails with ErrTooLarge once more than remainingBytes were read.
type limitedBody struct {
	io.ReadCloser
	remainingBytes int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.remainingBytes -= int64(n)
	if b.remainingBytes < 0 {
		return 0, ErrTooLarge
	}
	return n, err
}
