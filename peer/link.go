package peer

import (
	"context"
	"errors"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// clientIdleTimeout bounds how long a client's connection stays open without
// input. A call that may take longer must be split into several calls.
const clientIdleTimeout = 10 * time.Minute

// link is the pool's only connection to a peer and the state of its redials.
type link struct {
	pool    *Pool
	address string

	mu       sync.Mutex
	client   *rpc.Client
	lastUsed time.Time
	// dialling is closed when the dial in progress ends; it is nil if none is
	// in progress.
	dialling chan struct{}
	dialErr  error
	backoff  time.Duration
	retryAt  time.Time
	closed   bool
}

// connect returns the open connection or waits for a new one.
func (l *link) connect(ctx context.Context) (*rpc.Client, error) {
	l.mu.Lock()
	l.closeIfIdle()
	if l.client != nil {
		client := l.client
		l.lastUsed = time.Now()
		l.mu.Unlock()
		return client, nil
	}
	if l.closed {
		l.mu.Unlock()
		return nil, merry.Wrap(ErrClosed, merry.NoCaptureStack())
	}
	// During the backoff calls fail immediately: a dial to a dead peer for
	// every call would cost more than the calls themselves.
	if l.dialling == nil && time.Now().Before(l.retryAt) {
		failure := l.dialErr
		l.mu.Unlock()
		return nil, failure
	}
	if l.dialling == nil {
		l.dialling = make(chan struct{})
		go l.dial()
	}
	dialling := l.dialling
	l.mu.Unlock()
	select {
	case <-dialling:
		return l.dialResult()
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return nil, wrap(ErrUnreachable, ctx.Err())
		}
		return nil, ctx.Err()
	}
}

// closeIfIdle closes a connection that the server may be about to close as
// idle. A call sent while the server closes it would be lost, and whether it
// ran would be unknown.
func (l *link) closeIfIdle() {
	if l.client == nil || time.Since(l.lastUsed) < l.pool.config.IdleTimeout {
		return
	}
	_ = l.client.Close()
	l.client = nil
}

func (l *link) dialResult() (*rpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		return l.client, nil
	}
	if l.dialErr != nil {
		return nil, l.dialErr
	}
	return nil, merry.Wrap(ErrUnreachable, merry.NoCaptureStack())
}

func (l *link) dial() {
	client, err := l.pool.dial(l.address)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dialling)
	l.dialling = nil
	if err != nil {
		l.dialErr = err
		l.backoff = min(max(2*l.backoff, l.pool.config.Backoff), l.pool.config.MaxBackoff)
		l.retryAt = time.Now().Add(l.backoff)
		return
	}
	l.dialErr = nil
	l.backoff = 0
	if l.closed {
		_ = client.Close()
		return
	}
	l.client = client
	l.lastUsed = time.Now()
}

// outgoing holds the arguments of a call and whether the codec has started to
// write them.
type outgoing struct {
	args         any
	writeStarted atomic.Bool
}

// call makes one call over the link. It returns retry if the connection was
// already dead and nothing of the call was written. Only writeStarted shows
// that: net/rpc returns the same error for calls that it never sent and for
// calls that were in flight when the connection closed. If an in-flight call
// were treated as never sent, it could be reported as not run although it ran.
func (l *link) call(ctx context.Context, method string, args, reply any) (retry bool, err error) {
	client, err := l.connect(ctx)
	if err != nil {
		return false, err
	}
	out := &outgoing{
		args: args,
	}
	// The reply is decoded into a new value: a reply that arrives after the
	// timeout would otherwise be written while the caller reads its value.
	fresh := reflect.New(reflect.TypeOf(reply).Elem())
	done := make(chan error, 1)
	go func() { done <- client.Call(method, out, fresh.Interface()) }()
	select {
	case err = <-done:
	case <-ctx.Done():
		return false, translateContext(ctx.Err())
	}
	if err != nil {
		return errors.Is(err, rpc.ErrShutdown) && !out.writeStarted.Load(), l.handleError(client, err)
	}
	l.markUsed()
	reflect.ValueOf(reply).Elem().Set(fresh.Elem())
	return false, nil
}

// handleError translates the error of a call and drops a connection that is
// no longer usable.
func (l *link) handleError(client *rpc.Client, err error) error {
	translated := translateCall(err)
	var remote *RemoteError
	if errors.As(translated, &remote) {
		l.markUsed()
		return translated
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != client {
		return translated
	}
	l.client = nil
	// After a message too large to send, the encoder's state no longer matches
	// the decoder's of the other end, so no further call may use the connection.
	// In-flight calls may still be answered, so it is closed later.
	if errors.Is(translated, ErrTooLarge) {
		time.AfterFunc(l.pool.config.IdleTimeout, func() { _ = client.Close() })
		return translated
	}
	_ = client.Close()
	return translated
}

func (l *link) markUsed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastUsed = time.Now()
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.client != nil {
		_ = l.client.Close()
		l.client = nil
	}
}
