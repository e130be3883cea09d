package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"zinniamast/httplimit"
)

// Limits of a pool where the configuration leaves a field zero.
const (
	defaultDialTimeout = 3 * time.Second
	defaultBackoff     = 100 * time.Millisecond
	defaultMaxBackoff  = 2 * time.Second
)

// PoolConfig configures a pool.
type PoolConfig struct {
	// Role is what the pool's connections prove to be; zero means RolePeer.
	Role Role
	// Keys are the shared keys of the role; the first proves.
	Keys []string
	// MaxMessage bounds one message, in bytes; zero means 64 MiB.
	MaxMessage int64
	// DialTimeout bounds connecting and proving; zero means 3 s.
	DialTimeout time.Duration
	// Backoff is the wait after a failed dial, doubled up to MaxBackoff; zero means 100 ms.
	Backoff time.Duration
	// MaxBackoff is the longest wait after failed dials; zero means 2 s.
	MaxBackoff time.Duration
	// IdleTimeout retires a connection not used for so long; it stays well
	// under the servers' own. Zero means 1 minute.
	IdleTimeout time.Duration
	// Dial replaces net.Dialer in tests and behind proxies.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Pool keeps one connection per peer.
type Pool struct {
	config  PoolConfig
	tls     *tls.Config
	traffic Traffic

	mu     sync.Mutex
	key    string
	links  map[string]*link
	closed bool
}

// NewPool returns an empty pool; connections are made by the first call.
func NewPool(config PoolConfig) (*Pool, error) {
	if len(config.Keys) == 0 {
		return nil, merry.New("peer pool: no key to prove")
	}
	fill(&config.Role, RolePeer)
	fill(&config.MaxMessage, defaultMaxMessage)
	fill(&config.DialTimeout, defaultDialTimeout)
	fill(&config.Backoff, defaultBackoff)
	fill(&config.MaxBackoff, defaultMaxBackoff)
	fill(&config.IdleTimeout, defaultIdleTimeout/2)
	if config.Dial == nil {
		config.Dial = dialTCP
	}
	return &Pool{
		config: config,
		tls:    newClientTLS(),
		key:    config.Keys[0],
		links:  map[string]*link{},
	}, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return httplimit.Dialer(defaultDialTimeout).DialContext(ctx, "tcp", address)
}

// Traffic returns the pool's byte counters.
func (p *Pool) Traffic() *Traffic { return &p.traffic }

// SetKeys changes the key that new connections prove; standing ones are kept.
// An empty list changes nothing.
func (p *Pool) SetKeys(keys []string) {
	if len(keys) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.key = keys[0]
}

// Call calls a method of a peer. It returns when the reply is there or the
// context ends; then the arguments may still be read for a while, so they
// must not be changed, and the reply is left untouched.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	l, err := p.link(address)
	if err != nil {
		return err
	}
	for {
		again, err := l.call(ctx, method, args, reply)
		if !again {
			return err
		}
	}
}

func (p *Pool) link(address string) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, merry.Wrap(ErrClosed, merry.NoCaptureStack())
	}
	l, ok := p.links[address]
	if !ok {
		l = &link{
			pool:    p,
			address: address,
		}
		p.links[address] = l
	}
	return l, nil
}

// Close closes all connections; calls in flight end with ErrLost.
func (p *Pool) Close() {
	p.mu.Lock()
	links := p.links
	p.links = nil
	p.closed = true
	p.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

func (p *Pool) proof() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.key
}

// dial connects and proves within the pool's own time, whoever waits.
func (p *Pool) dial(address string) (*rpc.Client, error) {
	ctx, cancel := context.WithTimeout(context.Background(), p.config.DialTimeout)
	defer cancel()
	conn, err := p.config.Dial(ctx, address)
	if err != nil {
		return nil, translateDial(err)
	}
	_ = conn.SetDeadline(time.Now().Add(p.config.DialTimeout))
	secure := tls.Client(&countedConn{
		Conn:    conn,
		traffic: &p.traffic,
	}, p.tls)
	if err := greet(secure, p.config.Role, p.proof()); err != nil {
		_ = conn.Close()
		return nil, translateDial(err)
	}
	_ = conn.SetDeadline(time.Time{})
	limited := newLimitedConn(secure, p.config.MaxMessage, clientIdle, defaultStallTimeout)
	return rpc.NewClientWithCodec(newCodec(limited, 0)), nil
}
