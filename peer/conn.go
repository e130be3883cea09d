package peer

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// Traffic counts the encrypted bytes of connections in both directions.
type Traffic struct {
	// In and Out count the bytes received and sent.
	In  atomic.Int64
	Out atomic.Int64
}

// countedConn counts the bytes of the connection that TLS runs on.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.In.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Out.Add(int64(n))
	return n, err
}

// limitedConn limits the size of each message that is read and the time that
// reads and writes may take without progress.
type limitedConn struct {
	net.Conn
	// idleTimeout bounds the wait for input, stallTimeout the wait for a write
	// to make progress.
	idleTimeout  time.Duration
	stallTimeout time.Duration

	reader    *bufio.Reader
	limit     int64
	remaining int64
	// exceeded is never reset: after a message above the limit, the start of
	// the next message is unknown.
	exceeded bool

	mu       sync.Mutex
	draining bool
}

func newLimitedConn(conn net.Conn, limit int64, idleTimeout, stallTimeout time.Duration) *limitedConn {
	c := &limitedConn{
		Conn:         conn,
		idleTimeout:  idleTimeout,
		stallTimeout: stallTimeout,
		limit:        limit,
		remaining:    limit,
	}
	c.reader = bufio.NewReader(deadlineReader{
		conn: c,
	})
	return c
}

// deadlineReader extends the read deadline before each read, unless the
// connection is draining.
type deadlineReader struct{ conn *limitedConn }

func (r deadlineReader) Read(p []byte) (int, error) {
	r.conn.mu.Lock()
	if !r.conn.draining {
		_ = r.conn.Conn.SetReadDeadline(time.Now().Add(r.conn.idleTimeout))
	}
	r.conn.mu.Unlock()
	return r.conn.Conn.Read(p)
}

// nextMessage resets the byte count for the next message.
func (c *limitedConn) nextMessage() {
	if !c.exceeded {
		c.remaining = c.limit
	}
}

// checkLimit returns ErrTooLarge if the message being read has used up the limit.
func (c *limitedConn) checkLimit() error {
	if c.remaining > 0 {
		return nil
	}
	c.exceeded = true
	return merry.Wrap(ErrTooLarge, merry.NoCaptureStack())
}

// Read implements io.Reader. A message above the limit ends the connection;
// without the limit a peer could make this process allocate as much memory as
// the peer sends.
func (c *limitedConn) Read(p []byte) (int, error) {
	if err := c.checkLimit(); err != nil {
		return 0, err
	}
	if int64(len(p)) > c.remaining {
		p = p[:c.remaining]
	}
	n, err := c.reader.Read(p)
	c.remaining -= int64(n)
	return n, err
}

// ReadByte implements io.ByteReader. With it gob does not wrap the connection
// in a buffer that reads past the end of a message.
func (c *limitedConn) ReadByte() (byte, error) {
	if err := c.checkLimit(); err != nil {
		return 0, err
	}
	c.remaining--
	return c.reader.ReadByte()
}

// Write implements io.Writer. Each chunk must be written within stallTimeout.
func (c *limitedConn) Write(p []byte) (int, error) {
	const chunkSize = 1 << 20
	written := 0
	for written < len(p) {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(c.stallTimeout))
		n, err := c.Conn.Write(p[written:min(written+chunkSize, len(p))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// drain stops reading, so that the server loop finishes its running calls and
// closes the connection.
func (c *limitedConn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}
