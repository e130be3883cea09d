// Package httplimit builds HTTP clients whose answers are bounded in time and size.
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

// ErrTooLarge means that an answer is larger than the client may read.
var ErrTooLarge = errors.New("answer too large")

// Config says what a client may use.
type Config struct {
	// Timeout bounds a whole call, body included.
	Timeout time.Duration
	// MaxBody bounds an answer's body, in bytes.
	MaxBody int64
	// MaxConnections bounds connections to one host.
	MaxConnections int
}

// dialTimeout bounds the connect alone, so that a dead address is told from a slow one.
const dialTimeout = 2 * time.Second

// Keep-alive probes of a connection without traffic, and the bound on what is
// sent and not acknowledged.
//
// Failure: a connection goes silent without a reset while new ones to the same
// peer work; a call that waits on it would hang until its own timeout. With a
// probe after a second and two more a second apart the kernel ends an idle one
// within three seconds. Probes are not sent while data waits to be
// acknowledged: there the kernel sends again ever more rarely, and after a cut
// of some seconds the connection stays silent as long again; the user timeout
// ends it.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	userTimeout       = 3 * time.Second
)

// DialAbortive dials a connection that is reset when it is closed.
//
// Failure: a call is given up while its bytes wait behind a cut. The kernel
// goes on sending them after an ordinary close, and seconds later the peer
// runs what the caller was told had failed, or takes an order of a node that no
// longer holds the duty. A reset discards what was not sent.
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

// Dialer returns a dialer whose connections notice a silent peer within seconds.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		Control: boundUnacknowledged,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
}

// boundUnacknowledged sets TCP_USER_TIMEOUT.
func boundUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// NewClient returns a client with bounds.
func NewClient(c Config) *http.Client {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return DialAbortive(ctx, Dialer(dialTimeout), network, address)
		},
		MaxConnsPerHost:       c.MaxConnections,
		MaxIdleConnsPerHost:   c.MaxConnections,
		IdleConnTimeout:       30 * time.Second,
		ResponseHeaderTimeout: c.Timeout,
		ForceAttemptHTTP2:     true,
	}
	return &http.Client{
		Timeout: c.Timeout,
		Transport: &limited{
			next:    transport,
			maxBody: c.MaxBody,
		},
	}
}

// limited bounds the bodies that come through it. A peer that never ends its
// answer would otherwise fill this node's memory; cutting the read at the
// bound is enough because no caller reads past an error.
type limited struct {
	next    *http.Transport
	maxBody int64
}

// RoundTrip implements http.RoundTripper.
func (l *limited) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := l.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	response.Body = &body{
		ReadCloser: response.Body,
		left:       l.maxBody,
	}
	return response, nil
}

// CloseIdleConnections lets http.Client close what the transport keeps open.
func (l *limited) CloseIdleConnections() { l.next.CloseIdleConnections() }

type body struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, ErrTooLarge
	}
	return n, err
}
