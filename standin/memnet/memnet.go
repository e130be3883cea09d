// Package memnet connects clients and stand-ins within one process without
// sockets, so that tests can run under virtual time.
package memnet

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
)

// Network is a set of named listeners.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// New returns an empty network.
func New() *Network {
	return &Network{
		listeners: map[string]*listener{},
	}
}

var (
	errRefused = errors.New("connection refused")
	errClosed  = errors.New("listener closed")
)

// Listen opens a listener at host:port.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{
		network: n,
		address: address,
		conns:   make(chan net.Conn),
		closed:  make(chan struct{}),
	}
	n.listeners[address] = l
	return l
}

// Dial connects to a listener; without a listener it fails with "connection
// refused", as a socket does.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	refused := &net.OpError{
		Op:  "dial",
		Net: "mem",
		Err: errRefused,
	}
	if l == nil {
		return nil, refused
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Serve serves a handler at host:port until the returned function is called.
func (n *Network) Serve(address string, handler http.Handler) (stop func()) {
	server := &http.Server{
		Handler: handler,
	}
	l := n.Listen(address)
	go server.Serve(l)
	return func() { server.Close() }
}

// Transport returns an HTTP transport over the network.
func (n *Network) Transport() *http.Transport {
	return &http.Transport{
		DialContext:         n.Dial,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 256,
	}
}

type listener struct {
	network *Network
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, errClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

// Network implements net.Addr.
func (address) Network() string { return "mem" }

// String implements net.Addr.
func (a address) String() string { return string(a) }
