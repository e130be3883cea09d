package processtest

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// linkFault is what a link does to the responses that pass through it.
type linkFault int

const (
	noLinkFault linkFault = iota
	delayResponses
	dropResponses
	resetConnections
)

// Link is a fault proxy in front of one listener.
type Link struct {
	tb     testing.TB
	name   string
	target string
	// address stays reserved for the link while the link is cut.
	address string
	running sync.WaitGroup

	mu sync.Mutex
	// listener is nil while the link is cut.
	listener    net.Listener
	connections map[*linkConnection]bool
	fault       linkFault
	delay       time.Duration
	// changed is closed and replaced when the fault changes.
	changed chan struct{}
}

// NewLink starts a link without faults in front of target, which is host:port.
func NewLink(tb testing.TB, name, target string) *Link {
	tb.Helper()
	l := &Link{
		tb:          tb,
		name:        name,
		target:      target,
		address:     FreeAddress(tb),
		connections: map[*linkConnection]bool{},
		changed:     make(chan struct{}),
	}
	l.Heal()
	tb.Cleanup(l.Cut)
	return l
}

// Address returns the link's host:port.
func (l *Link) Address() string { return l.address }

// Target returns the host:port that the link stands in front of.
func (l *Link) Target() string { return l.target }

// URL returns the link's base URL.
func (l *Link) URL() string { return "http://" + l.address }

// Cut breaks every open connection and refuses new ones.
func (l *Link) Cut() {
	l.mu.Lock()
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
	l.closeConnections()
	l.mu.Unlock()
	l.running.Wait()
}

// Heal accepts connections again after Cut.
func (l *Link) Heal() {
	l.tb.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		l.tb.Fatalf("link %s: %v", l.name, err)
	}
	l.listener = listener
	l.running.Go(func() { l.accept(listener) })
}

// Delay delays everything that comes back through the link.
func (l *Link) Delay(delay time.Duration) { l.setFault(delayResponses, delay) }

// DropResponses keeps connections open and drops everything that comes back, like a
// partition that drops packets.
func (l *Link) DropResponses() { l.setFault(dropResponses, 0) }

// Reset breaks each connection with a TCP reset as soon as data comes back.
func (l *Link) Reset() { l.setFault(resetConnections, 0) }

// Clear removes the effects of Delay, DropResponses and Reset. Connections that lost
// responses are broken, since their streams have a gap.
func (l *Link) Clear() { l.setFault(noLinkFault, 0) }

func (l *Link) setFault(fault linkFault, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault == dropResponses {
		l.closeConnections()
	}
	l.fault = fault
	l.delay = delay
	close(l.changed)
	l.changed = make(chan struct{})
}

// closeConnections closes all connections; the caller holds the lock.
func (l *Link) closeConnections() {
	for c := range l.connections {
		c.close()
	}
}

// currentFault returns the fault in force and a channel that is closed when it changes.
func (l *Link) currentFault() (fault linkFault, delay time.Duration, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.delay, l.changed
}

func (l *Link) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		l.running.Go(func() { l.serve(listener, client) })
	}
}

// serve connects a client to the target until either end closes its connection.
func (l *Link) serve(listener net.Listener, client net.Conn) {
	target, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &linkConnection{
		client: client.(*net.TCPConn),
		target: target.(*net.TCPConn),
		closed: make(chan struct{}),
	}
	defer c.close()
	if !l.register(listener, c) {
		return
	}
	defer l.unregister(c)
	received := make(chan chunk, maxQueuedChunks)
	var directions sync.WaitGroup
	directions.Go(func() {
		defer c.close()
		_, _ = io.Copy(c.target, c.client) // Either end may leave at any time.
	})
	directions.Go(func() { c.receive(received) })
	directions.Go(func() {
		defer c.close()
		l.deliver(c, received)
	})
	directions.Wait()
}

// register adds a connection, unless the link was cut since it was accepted.
func (l *Link) register(listener net.Listener, c *linkConnection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != listener {
		return false
	}
	l.connections[c] = true
	return true
}

func (l *Link) unregister(c *linkConnection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, c)
}

// deliver writes responses to the client, subject to the link's fault.
func (l *Link) deliver(c *linkConnection, received <-chan chunk) {
	for r := range received {
		switch l.awaitDelay(c, r.at) {
		case dropResponses:
			continue
		case resetConnections:
			c.reset()
			return
		}
		if _, err := c.client.Write(r.data); err != nil {
			return
		}
	}
}

// awaitDelay waits until a response received at a time is due and returns the fault
// then in force.
func (l *Link) awaitDelay(c *linkConnection, at time.Time) linkFault {
	for {
		fault, delay, changed := l.currentFault()
		wait := time.Until(at.Add(delay))
		if fault != delayResponses || wait <= 0 {
			return fault
		}
		select {
		case <-time.After(wait):
		case <-changed:
		case <-c.closed:
			return fault
		}
	}
}

const (
	// maxQueuedChunks bounds the responses that a delay holds for one connection.
	maxQueuedChunks = 256
	chunkBytes      = 16 << 10
)

// chunk is a part of a response and the time at which the link received it.
type chunk struct {
	data []byte
	at   time.Time
}

// linkConnection is one connection through a link.
type linkConnection struct {
	client    *net.TCPConn
	target    *net.TCPConn
	closeOnce sync.Once
	closed    chan struct{}
}

// receive reads responses from the target until either end closes its connection.
func (c *linkConnection) receive(received chan<- chunk) {
	defer close(received)
	for {
		data := make([]byte, chunkBytes)
		n, err := c.target.Read(data)
		if n > 0 {
			select {
			case received <- chunk{
				data: data[:n],
				at:   time.Now(),
			}:
			case <-c.closed:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// reset closes both ends with a TCP reset.
func (c *linkConnection) reset() {
	_ = c.client.SetLinger(0)
	_ = c.target.SetLinger(0)
	c.close()
}

func (c *linkConnection) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.client.Close()
		_ = c.target.Close()
	})
}
