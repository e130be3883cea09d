package plain

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"zinniamast/httplimit"
)

// errSealed is what a connection answers once a request may not be sent on it.
var errSealed = errors.New("plain: the request was given up before its first byte")

// What has become of the request on a connection.
const (
	untouched int32 = iota
	touched
	sealed
)

// conn notes whether a byte of the current request was handed to the network.
//
// Failure: a connection dies, and whether the request can have reached the
// service decides between "not run" and "unknown". net/http does not tell the
// two apart in its errors. Here the first write and the verdict race on one
// atomic state, so that "nothing was sent" also means that nothing will be.
type conn struct {
	net.Conn
	state    atomic.Int32
	deadline atomic.Int64
}

// begin makes the connection ready for a request that may be sent until the deadline.
func (c *conn) begin(deadline time.Time) {
	c.deadline.Store(deadline.UnixNano())
	c.state.Store(untouched)
}

// seal bars the request if none of its bytes went out and reports whether that was so.
func (c *conn) seal() bool {
	return c.state.CompareAndSwap(untouched, sealed) || c.state.Load() == sealed
}

// Write implements net.Conn. A process that was paused past the deadline
// between its last check and this write must not send: its caller has been
// told by now that the deadline is past.
func (c *conn) Write(p []byte) (int, error) {
	if c.state.Load() == untouched {
		if time.Now().UnixNano() >= c.deadline.Load() {
			c.seal()
		}
		c.state.CompareAndSwap(untouched, touched)
	}
	if c.state.Load() == sealed {
		return 0, errSealed
	}
	return c.Conn.Write(p)
}

// dialer returns a dial function whose connections are of type *conn.
//
// The kernel does not end them for silence.
//
// Failure: a request waits behind a cut, the kernel's probes end its
// connection, and this process has nothing left to reset: the request reaches
// the replica when the cut heals, seconds after its caller was told that it had
// failed. Without probes a request's own deadline closes the connection, and
// the reset discards what was not delivered.
func dialer(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{
		Timeout:   timeout,
		KeepAlive: -1,
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := httplimit.DialAbortive(ctx, d, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{
			Conn: c,
		}, nil
	}
}

// once watches the connections of one request.
//
// Failure: net/http silently sends a request again when a reused connection
// dies, also a POST if it carries an idempotency key, and a booking runs
// twice. A second connection is allowed only if the first proves that nothing
// was sent on it; otherwise it is sealed and the request ends.
type once struct {
	deadline time.Time
	cancel   context.CancelFunc

	mu       sync.Mutex
	current  *conn
	replayed bool
}

// gotConn is called by net/http with each connection it chose.
func (o *once) gotConn(c net.Conn) {
	next, ok := c.(*conn)
	if !ok {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.current != nil && !o.current.seal() {
		o.replayed = true
		next.begin(time.Time{})
		next.seal()
		o.cancel()
		return
	}
	next.begin(o.deadline)
	o.current = next
}

// nothingSent reports whether no byte went out, and sees to it that none will.
func (o *once) nothingSent() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.current == nil || o.current.seal()
}
