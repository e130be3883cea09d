package harness

import (
	"net"
	"sync"
	"time"
)

// deadPeerTimeout is the time after which the kernel of an entry closes a channel to the store
// whose other end is silent, by the keep-alive probes or by the user timeout that the entry sets:
// the probes of an idle channel begin after one second and end after two more, and data that is
// not acknowledged is given up after three.
const deadPeerTimeout = 3 * time.Second

// Link passes the channels of one entry on to the store. Its open channels can go silent for
// good, while new ones work.
type Link struct {
	target   string
	listener net.Listener

	mu       sync.Mutex
	channels map[*channel]bool
}

// channel is one channel through a link.
type channel struct {
	client, server net.Conn

	mu sync.Mutex
	// silent reports whether the channel passes nothing on any more. usedAt is when the last
	// byte passed, or when the entry sent the first one after that.
	silent  bool
	isAsked bool
	usedAt  time.Time
}

// NewLink starts a link to an address.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{
		target:   target,
		listener: listener,
		channels: map[*channel]bool{},
	}
	go l.accept()
	return l, nil
}

// Address returns host:port of the entry's side.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Silence lets all open channels go silent, and returns their number. Each of them is reset when
// the probes of the entry's kernel would have found it dead.
func (l *Link) Silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.channels {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
		go c.resetWhenFoundDead()
	}
	return len(l.channels)
}

// Close ends the link and its channels.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.channels {
		c.close()
	}
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(client)
	}
}

func (l *Link) serve(client net.Conn) {
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &channel{
		client: client,
		server: server,
		usedAt: time.Now(),
	}
	l.mu.Lock()
	l.channels[c] = true
	l.mu.Unlock()
	var copies sync.WaitGroup
	copies.Add(2)
	go func() {
		defer copies.Done()
		c.pass(server, client, true)
	}()
	go func() {
		defer copies.Done()
		c.pass(client, server, false)
	}()
	copies.Wait()
	l.mu.Lock()
	delete(l.channels, c)
	l.mu.Unlock()
}

// pass copies one direction until an end closes. A silent channel discards what it reads, and
// tells neither end that the other has closed.
func (c *channel) pass(to, from net.Conn, fromEntry bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !c.used(fromEntry) {
			_, _ = to.Write(buffer[:n])
		}
		if err == nil {
			continue
		}
		if c.isSilent() && !fromEntry {
			return
		}
		c.close()
		return
	}
}

// used records that bytes arrived, and reports whether they are to be discarded.
func (c *channel) used(fromEntry bool) (discard bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.silent {
		c.usedAt = time.Now()
	} else if fromEntry && !c.isAsked {
		c.isAsked = true
		c.usedAt = time.Now()
	}
	return c.silent
}

func (c *channel) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *channel) resetWhenFoundDead() {
	for {
		c.mu.Lock()
		left := time.Until(c.usedAt.Add(deadPeerTimeout))
		c.mu.Unlock()
		if left <= 0 {
			break
		}
		time.Sleep(left)
	}
	if tcp, ok := c.client.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.close()
}

func (c *channel) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}
