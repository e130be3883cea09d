package plain

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"

	"zinniamast"
	"zinniamast/httplimit"
)

// errSealed is returned by writes to a connection that is sealed.
var errSealed = errors.New("plain: request abandoned before its first byte was written")

// The states of the current request on a connection: no byte was written, at least
// one byte may have been written, or the connection is sealed and no byte will be.
const (
	unsent int32 = iota
	sent
	sealed
)

// conn records whether a byte of the current request was written to the network.
//
// If a connection breaks, the outcome is "not run" or "unknown", depending on whether
// the request can have reached the service. The errors of net/http do not distinguish
// the two. The first write and the decision that nothing was sent therefore compete
// for one atomic state: once it is decided that nothing was sent, a write fails.
type conn struct {
	net.Conn
	state    atomic.Int32
	deadline atomic.Int64
	// upload is that of the current request; nil before the first one.
	upload atomic.Pointer[upload]
	// requests counts the requests that were given the connection.
	requests int
	// awaited is the present request until its answer begins to arrive; nil before and after that,
	// and if it has no ID.
	awaited atomic.Pointer[awaited]
	// head is that of the answer to the current request.
	head httplimit.Head
	// held holds bytes that were read ahead; only Read uses it.
	held []byte

	mu sync.Mutex
	// carried holds the hashes of the IDs of the requests, and isSpoiled reports whether an answer
	// has arrived twice.
	carried   []uint64
	isSpoiled bool
}

// maxCarried bounds the requests that a connection remembers. One that has carried as many is not
// used again.
const maxCarried = 256

// mayCarry reports whether the connection has not carried a request with this ID before, and
// remembers it if so. An answer is matched to a send by the ID, so a second copy of the answer to
// an earlier send on the connection would pass for that to the next one.
func (c *conn) mayCarry(id string) bool {
	hash := xxh3.HashString(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if id == "" {
		return !c.isSpoiled
	}
	if c.isSpoiled || len(c.carried) == maxCarried || slices.Contains(c.carried, hash) {
		return false
	}
	c.carried = append(c.carried, hash)
	return true
}

// hasCarried reports whether the connection has carried a request whose ID has this hash.
func (c *conn) hasCarried(hash uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.carried, hash)
}

// spoil keeps the connection from being used again.
func (c *conn) spoil() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isSpoiled = true
}

// prepare resets the connection for a request that may be sent until the deadline.
func (c *conn) prepare(deadline time.Time) {
	c.upload.Store(newUpload())
	c.head.Reset()
	c.deadline.Store(deadline.UnixNano())
	c.state.Store(unsent)
}

// seal prevents the request from being sent, unless a byte of it may have been
// written. It reports whether none was.
func (c *conn) seal() bool {
	return c.state.CompareAndSwap(unsent, sealed) || c.state.Load() == sealed
}

// Write implements net.Conn. It checks the deadline once more before the first byte:
// if the process was paused past the deadline after its previous check, the caller
// has already received a refusal, and the request must not be sent.
func (c *conn) Write(p []byte) (int, error) {
	if c.state.Load() == unsent {
		if time.Now().UnixNano() >= c.deadline.Load() {
			c.seal()
		}
		c.state.CompareAndSwap(unsent, sent)
	}
	if c.state.Load() == sealed {
		return 0, errSealed
	}
	return c.upload.Load().write(c.Conn, p)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.readAnswer(p)
	c.head.Add(p[:n])
	return n, err
}

// read reads from the network.
func (c *conn) read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if u := c.upload.Load(); err == io.EOF && u != nil {
		err = u.readEnd()
	}
	return n, err
}

// DialFunc opens a connection.
type DialFunc = httplimit.DialFunc

// guarded returns a dial function whose connections are of type *conn.
func guarded(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{
			Conn: c,
		}, nil
	}
}

// dialer returns a function that opens TCP connections.
//
// TCP keep-alive probes are disabled. During a network partition they would make the
// kernel close the connection of a waiting request, and this process could no longer
// reset it: the request would reach the replica when the partition heals, seconds
// after its caller received a failure. Without probes the deadline of the
// request closes the connection, and the reset discards undelivered data.
func dialer(timeout time.Duration) DialFunc {
	d := &net.Dialer{
		Timeout:   timeout,
		KeepAlive: -1,
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return httplimit.DialAbortive(ctx, d, network, address)
	}
}

// sendGuard tracks the connections of one request, so that it is sent at most once.
//
// When a reused connection breaks, net/http silently sends the request again, even a
// POST if it has an idempotency key, and a booking would run twice. A second
// connection is allowed only if the first one is sealed, with no byte written;
// otherwise the second connection is sealed and the request is cancelled.
type sendGuard struct {
	ctx context.Context
	// request is the ID of the request, which requestID finds in the headers of its answer.
	request   string
	requestID func(http.Header) string
	deadline  time.Time
	cancel    context.CancelFunc
	interim   httplimit.Interim

	mu       sync.Mutex
	current  *conn
	replayed bool
	// reused reports whether the current connection was open before the request, and idle
	// is how long it was idle then.
	reused bool
	idle   time.Duration
}

// gotConn is called by net/http with each connection that it selects.
func (g *sendGuard) gotConn(info httptrace.GotConnInfo) {
	next, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current != nil && !g.current.seal() {
		g.replayed = true
		next.prepare(time.Time{})
		next.seal()
		g.cancel()
		return
	}
	next.prepare(g.deadline)
	g.current = next
	if !next.mayCarry(g.request) {
		next.seal() // net/http goes on to another connection, as nothing was written
		return
	}
	next.await(g.request, g.requestID)
	g.reused, g.idle = info.Reused, info.IdleTime
	zinniamast.RecordConnection(g.ctx, zinniamast.Connection{
		Requests: next.requests,
		Idle:     info.IdleTime,
	})
	next.requests++
}

// spoil keeps the request's connection from being used again.
func (g *sendGuard) spoil() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current != nil {
		g.current.spoil()
	}
}

// checkFraming returns the error of an answer with faulty framing that net/http accepts.
func (g *sendGuard) checkFraming(response *http.Response) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current == nil {
		return nil
	}
	return g.current.head.Check(response)
}

// describe adds to the error of a request whether it was sent on a reused connection. A
// partition may leave those open and silent.
func (g *sendGuard) describe(err error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current == nil || !g.reused {
		return err
	}
	return fmt.Errorf("on a connection idle for %v before: %w", g.idle.Round(time.Millisecond), err)
}

// wroteRequest is called by net/http when it has passed on all of the request to the connection.
func (g *sendGuard) wroteRequest(info httptrace.WroteRequestInfo) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current != nil {
		g.current.upload.Load().wrote(info)
	}
}

// nothingSent reports whether no byte was written. If so, it seals the connection, so
// that none will be.
func (g *sendGuard) nothingSent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.current == nil || g.current.seal()
}
