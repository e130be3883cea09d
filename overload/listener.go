package overload

import (
	"errors"
	"net"
	"sync"
)

// Listener accepts connections that a Gate takes. It implements net.Listener.
type Listener struct {
	net.Listener
	gate *Gate
}

// NewListener returns a listener that closes the connections that the gate refuses.
func NewListener(inner net.Listener, gate *Gate) *Listener {
	return &Listener{
		Listener: inner,
		gate:     gate,
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		ticket, ok := l.gate.Admit()
		if ok {
			return &conn{
				Conn:   c,
				ticket: ticket,
			}, nil
		}
		refuse(c)
	}
}

// refuse resets a connection, which costs less than an orderly end and tells the caller at
// once that nothing was read.
func refuse(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Without it the connection is closed all the same.
	}
	_ = c.Close()
}

// conn reports its first read, or that it was closed before.
type conn struct {
	net.Conn
	ticket *Ticket
	once   sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.once.Do(c.ticket.Read)
	return c.Conn.Read(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(c.ticket.Read)
	return c.Conn.Close()
}

// SetLinger sets how the connection is closed, as that of a *net.TCPConn does.
func (c *conn) SetLinger(seconds int) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.SetLinger(seconds)
}
