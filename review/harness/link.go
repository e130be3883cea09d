package harness

import (
	"net"
	"sync"
)

// Link is the way of one entry to the platform's store: a proxy that can be cut. A cut is silent:
// channels stay open, and nothing passes in either direction. What was held up passes once the cut
// has healed, unless its sender has closed or reset the channel.
type Link struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	isCut  bool
	healed *sync.Cond
}

// NewLink opens a link to a host:port.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{
		target:   target,
		listener: listener,
	}
	l.healed = sync.NewCond(&l.mu)
	go l.accept()
	return l, nil
}

// Address returns the host:port at which the link is entered.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetCut cuts the link or heals it.
func (l *Link) SetCut(isCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = isCut
	l.healed.Broadcast()
}

// Close closes the link to new channels.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.SetCut(false)
}

func (l *Link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(near)
	}
}

// serve opens the far side of a channel, once the link is not cut, and passes both directions on.
func (l *Link) serve(near net.Conn) {
	out := l.read(near)
	out.await()
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(near)
		return
	}
	back := l.read(far)
	go pass(out, far, near)
	pass(back, near, far)
}

// pass writes what arrives at one side to the other, and resets both at the end of either.
func pass(from *held, to, source net.Conn) {
	defer reset(to)
	defer reset(source)
	for {
		data, ok := from.take()
		if !ok {
			return
		}
		if _, err := to.Write(data); err != nil {
			return
		}
	}
}

// reset closes a side of a channel so that nothing that is still held up there passes.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// held is what has arrived on one side of a channel and was not passed on.
type held struct {
	link *Link

	// The link's lock guards the fields below.
	data  []byte
	ended bool
}

// read collects what arrives on a side until that ends. What a side has sent before it closed or
// reset the channel during a cut is lost.
func (l *Link) read(conn net.Conn) *held {
	h := &held{
		link: l,
	}
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, err := conn.Read(buffer)
			l.mu.Lock()
			h.data = append(h.data, buffer[:n]...)
			h.ended = err != nil
			if h.ended && l.isCut {
				h.data = nil
			}
			l.healed.Broadcast()
			l.mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	return h
}

// await waits until the link is not cut.
func (h *held) await() {
	h.link.mu.Lock()
	defer h.link.mu.Unlock()
	for h.link.isCut {
		h.link.healed.Wait()
	}
}

// take waits for data that may pass. It returns false at the end of the side.
func (h *held) take() ([]byte, bool) {
	h.link.mu.Lock()
	defer h.link.mu.Unlock()
	for h.link.isCut || len(h.data) == 0 && !h.ended {
		h.link.healed.Wait()
	}
	data := h.data
	h.data = nil
	return data, len(data) > 0
}
