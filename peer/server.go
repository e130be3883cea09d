package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Defaults of the fields of ServerConfig that are zero, and the stall timeout
// of both ends.
const (
	defaultMaxMessage       = 64 << 20
	defaultHandshakeTimeout = 5 * time.Second
	defaultIdleTimeout      = 2 * time.Minute
	defaultStallTimeout     = 10 * time.Second
	defaultMaxConns         = 1024
	defaultMaxHandshakes    = 64
	defaultMaxCalls         = 1024
)

// ServerConfig configures a server.
type ServerConfig struct {
	// Listen is host:port; port 0 selects a free port.
	Listen string
	// PeerKeys and OperatorKeys are the shared keys accepted for each role.
	PeerKeys     []string
	OperatorKeys []string
	// Logger logs refused connections and accept errors; nil means slog's default.
	Logger *slog.Logger
	// Registerer registers the metrics of the server; nil registers none.
	Registerer prometheus.Registerer
	// MaxMessage is the maximum size of a message in bytes; zero means 64 MiB.
	MaxMessage int64
	// HandshakeTimeout bounds TLS and the authentication after it; zero means 5 s.
	HandshakeTimeout time.Duration
	// IdleTimeout is how long a connection may stay without input before it is
	// closed; zero means 2 minutes.
	IdleTimeout time.Duration
	// MaxConns limits authenticated connections, and separately those of RoleRelay; zero
	// means 1024.
	MaxConns int
	// MaxHandshakes limits connections that have not authenticated yet; zero means 64.
	MaxHandshakes int
	// MaxCalls limits the running calls of one connection; zero means 1024.
	// Calls above it wait, heartbeats included, so long-running calls should use
	// a separate pool.
	MaxCalls int
}

// Server serves calls of peers and operators on one listener.
type Server struct {
	config     ServerConfig
	listener   net.Listener
	tls        *tls.Config
	rpcServers map[Role]*rpc.Server
	traffic    Traffic
	refusals   *prometheus.CounterVec
	// handshakes limits unauthenticated connections separately, so that they
	// don't count against MaxConns.
	handshakes chan struct{}
	relays     *relayListener

	mu      sync.Mutex
	keys    map[Role][]string
	conns   map[*limitedConn]bool
	closing bool
	running sync.WaitGroup
}

// NewServer opens the listener; Serve accepts connections on it.
func NewServer(config ServerConfig) (*Server, error) {
	setServerDefaults(&config)
	tlsConfig, err := newServerTLS()
	if err != nil {
		return nil, merry.Prepend(err, "peer server")
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, merry.Prepend(err, "peer server")
	}
	s := &Server{
		config:   config,
		listener: listener,
		tls:      tlsConfig,
		rpcServers: map[Role]*rpc.Server{
			RolePeer:     rpc.NewServer(),
			RoleOperator: rpc.NewServer(),
		},
		refusals: promauto.With(config.Registerer).NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_peer_connections_refused_total",
			Help: "Connections refused on the peer listener, by reason.",
		}, []string{"reason"}),
		handshakes: make(chan struct{}, config.MaxHandshakes),
		relays:     newRelayListener(listener.Addr(), config.MaxConns),
		conns:      map[*limitedConn]bool{},
	}
	s.SetKeys(config.PeerKeys, config.OperatorKeys)
	return s, nil
}

func setServerDefaults(config *ServerConfig) {
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	setDefault(&config.MaxMessage, defaultMaxMessage)
	setDefault(&config.HandshakeTimeout, defaultHandshakeTimeout)
	setDefault(&config.IdleTimeout, defaultIdleTimeout)
	setDefault(&config.MaxConns, defaultMaxConns)
	setDefault(&config.MaxHandshakes, defaultMaxHandshakes)
	setDefault(&config.MaxCalls, defaultMaxCalls)
}

func setDefault[T comparable](target *T, value T) {
	var zero T
	if *target == zero {
		*target = value
	}
}

// Address returns the host:port of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Traffic returns the server's byte counters.
func (s *Server) Traffic() *Traffic { return &s.traffic }

// RelayListener returns the listener whose connections are those that peers opened with
// Pool.DialRelay. Closing the server closes the listener, but not its connections.
func (s *Server) RelayListener() net.Listener { return s.relays }

// SetKeys replaces the accepted keys; existing connections stay open.
func (s *Server) SetKeys(peerKeys, operatorKeys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys = map[Role][]string{
		RolePeer:     peerKeys,
		RoleRelay:    peerKeys,
		RoleOperator: operatorKeys,
	}
}

func (s *Server) keysOf(role Role) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[role]
}

// RegisterPeer registers the net/rpc methods of a receiver for peers only.
func (s *Server) RegisterPeer(name string, receiver any) error {
	return s.rpcServers[RolePeer].RegisterName(name, receiver)
}

// RegisterOperator registers the net/rpc methods of a receiver for operators only.
func (s *Server) RegisterOperator(name string, receiver any) error {
	return s.rpcServers[RoleOperator].RegisterName(name, receiver)
}

// Serve accepts connections until Close, then returns nil.
func (s *Server) Serve() error {
	for {
		conn, err := s.listener.Accept()
		if s.isClosing() {
			if conn != nil {
				_ = conn.Close()
			}
			return nil
		}
		if err != nil {
			// Accept fails if the process runs out of file descriptors; others may
			// be closed during a short wait.
			s.config.Logger.Warn("peer_accept_failed", "error", err)
			time.Sleep(50 * time.Millisecond)
			continue
		}
		s.admit(conn)
	}
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// admit starts the handshake of a connection, or refuses the connection if
// MaxHandshakes are in progress.
func (s *Server) admit(conn net.Conn) {
	select {
	case s.handshakes <- struct{}{}:
		go s.handle(conn)
	default:
		s.refuse(conn, "too_many_handshakes", nil)
	}
}

func (s *Server) refuse(conn net.Conn, reason string, err error) {
	_ = conn.Close()
	s.refusals.WithLabelValues(reason).Inc()
	s.config.Logger.Info("peer_connection_refused", "reason", reason, "address", conn.RemoteAddr().String(), "error", err)
}

func (s *Server) handle(conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(s.config.HandshakeTimeout))
	tlsConn := tls.Server(&countedConn{
		Conn:    conn,
		traffic: &s.traffic,
	}, s.tls)
	role, err := serverHandshake(tlsConn, s.keysOf)
	<-s.handshakes
	if err != nil {
		s.refuse(conn, "handshake", err)
		return
	}
	_ = conn.SetDeadline(time.Time{})
	if role == RoleRelay {
		if !s.relays.deliver(tlsConn) {
			s.refuse(conn, "too_many_relays", nil)
		}
		return
	}
	limited := newLimitedConn(tlsConn, s.config.MaxMessage, s.config.IdleTimeout, defaultStallTimeout)
	if !s.track(limited) {
		s.refuse(conn, "too_many_connections", nil)
		return
	}
	defer s.untrack(limited)
	s.rpcServers[role].ServeCodec(newCodec(limited, s.config.MaxCalls))
}

func (s *Server) track(conn *limitedConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || len(s.conns) >= s.config.MaxConns {
		return false
	}
	s.conns[conn] = true
	s.running.Add(1)
	return true
}

func (s *Server) untrack(conn *limitedConn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	s.running.Done()
}

// Close stops accepting and reading and waits until running calls are
// answered. When the context ends, it closes the remaining connections.
func (s *Server) Close(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	conns := make([]*limitedConn, 0, len(s.conns))
	for conn := range s.conns {
		conns = append(conns, conn)
	}
	s.mu.Unlock()
	_ = s.listener.Close()
	_ = s.relays.Close()
	for _, conn := range conns {
		conn.drain()
	}
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		for _, conn := range conns {
			_ = conn.Conn.Close()
		}
		return translateContext(ctx.Err())
	}
}
