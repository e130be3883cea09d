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

// Defaults of the fields of PoolConfig that are zero.
const (
	defaultDialTimeout = 3 * time.Second
	defaultBackoff     = 100 * time.Millisecond
	defaultMaxBackoff  = 2 * time.Second
)

// PoolConfig configures a pool.
type PoolConfig struct {
	// Role is the role that connections authenticate for; zero means RolePeer.
	Role Role
	// Keys are the shared keys of the role; connections authenticate with the first.
	Keys []string
	// MaxMessage is the maximum size of a message in bytes; zero means 64 MiB.
	MaxMessage int64
	// DialTimeout bounds dialling and the handshake; zero means 3 s.
	DialTimeout time.Duration
	// Backoff is the delay after a failed dial, doubled up to MaxBackoff; zero means 100 ms.
	Backoff time.Duration
	// MaxBackoff is the maximum delay after failed dials; zero means 2 s.
	MaxBackoff time.Duration
	// IdleTimeout is how long a connection may be unused before the pool
	// replaces it. It must be well below the idle timeout of the servers. Zero
	// means 1 minute.
	IdleTimeout time.Duration
	// Dial opens the TCP connections; nil means net.Dialer. Tests and proxies replace it.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Pool holds one connection per peer.
type Pool struct {
	config  PoolConfig
	tls     *tls.Config
	traffic Traffic

	mu     sync.Mutex
	key    string
	links  map[string]*link
	closed bool
}

// NewPool returns an empty pool. The first call to a peer opens its connection.
func NewPool(config PoolConfig) (*Pool, error) {
	if len(config.Keys) == 0 {
		return nil, merry.New("peer pool: no key to prove")
	}
	setDefault(&config.Role, RolePeer)
	setDefault(&config.MaxMessage, defaultMaxMessage)
	setDefault(&config.DialTimeout, defaultDialTimeout)
	setDefault(&config.Backoff, defaultBackoff)
	setDefault(&config.MaxBackoff, defaultMaxBackoff)
	setDefault(&config.IdleTimeout, defaultIdleTimeout/2)
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

// SetKeys changes the key that new connections authenticate with; existing
// connections stay open. An empty list has no effect.
func (p *Pool) SetKeys(keys []string) {
	if len(keys) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.key = keys[0]
}

// Call calls a method of a peer and returns when the reply arrives or the
// context ends. If the context ends, the reply is not written, and the
// arguments may still be read after Call returns, so the caller must not
// change them.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	l, err := p.link(address)
	if err != nil {
		return err
	}
	for {
		retry, err := l.call(ctx, method, args, reply)
		if !retry {
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

// Close closes all connections; in-flight calls fail with ErrLost.
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

func (p *Pool) currentKey() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.key
}

// dial opens and authenticates a connection within DialTimeout, independently
// of the deadlines of the waiting callers.
func (p *Pool) dial(address string) (*rpc.Client, error) {
	ctx, cancel := context.WithTimeout(context.Background(), p.config.DialTimeout)
	defer cancel()
	conn, err := p.config.Dial(ctx, address)
	if err != nil {
		return nil, translateDial(err)
	}
	_ = conn.SetDeadline(time.Now().Add(p.config.DialTimeout))
	tlsConn := tls.Client(&countedConn{
		Conn:    conn,
		traffic: &p.traffic,
	}, p.tls)
	if err := clientHandshake(tlsConn, p.config.Role, p.currentKey()); err != nil {
		_ = conn.Close()
		return nil, translateDial(err)
	}
	_ = conn.SetDeadline(time.Time{})
	limited := newLimitedConn(tlsConn, p.config.MaxMessage, clientIdleTimeout, defaultStallTimeout)
	return rpc.NewClientWithCodec(newCodec(limited, 0)), nil
}
