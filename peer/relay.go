package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"zinniamast/httplimit"
)

// DialRelay opens an authenticated connection for HTTP requests to a peer, which its
// server's RelayListener accepts. Closing it resets it, so that a request whose sender has
// given up does not arrive after a partition.
func (p *Pool) DialRelay(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := httplimit.DialAbortive(ctx, &net.Dialer{
		KeepAlive: -1,
	}, "tcp", address)
	if err != nil {
		return nil, translateDial(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	tlsConn := tls.Client(&countedConn{
		Conn:    conn,
		traffic: &p.traffic,
	}, p.tls)
	err = clientHandshake(tlsConn, RoleRelay, p.currentKey())
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, translateDial(err)
	}
	return tlsConn, nil
}

// relayListener accepts the connections of peers that have authenticated for RoleRelay. It
// implements net.Listener.
type relayListener struct {
	address net.Addr
	conns   chan net.Conn
	// open limits the connections.
	open      chan struct{}
	closeOnce sync.Once
	closed    chan struct{}
}

func newRelayListener(address net.Addr, maxConns int) *relayListener {
	return &relayListener{
		address: address,
		conns:   make(chan net.Conn),
		open:    make(chan struct{}, maxConns),
		closed:  make(chan struct{}),
	}
}

// deliver passes a connection to Accept. It returns false if there are too many or the
// listener is closed.
func (l *relayListener) deliver(conn net.Conn) bool {
	select {
	case l.open <- struct{}{}:
	default:
		return false
	}
	select {
	case l.conns <- &relayConn{
		Conn:     conn,
		listener: l,
	}:
		return true
	case <-l.closed:
		<-l.open
		return false
	}
}

// Accept implements net.Listener.
func (l *relayListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *relayListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *relayListener) Addr() net.Addr { return l.address }

// relayConn releases its place in the listener when it is closed.
type relayConn struct {
	net.Conn
	listener  *relayListener
	closeOnce sync.Once
}

// Close implements net.Conn.
func (c *relayConn) Close() error {
	c.closeOnce.Do(func() { <-c.listener.open })
	return c.Conn.Close()
}
