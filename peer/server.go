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

// Limits that hold where the configuration leaves a field zero.
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
	// Listen is host:port; port 0 takes a free one.
	Listen string
	// PeerKeys and OperatorKeys are the shared keys believed for each role.
	PeerKeys     []string
	OperatorKeys []string
	// Logger hears of refused connections; nil means slog's default.
	Logger *slog.Logger
	// Registerer takes the server's counters; nil registers none.
	Registerer prometheus.Registerer
	// MaxMessage bounds one message, in bytes; zero means 64 MiB.
	MaxMessage int64
	// HandshakeTimeout bounds TLS and proof; zero means 5 s.
	HandshakeTimeout time.Duration
	// IdleTimeout closes a connection without input; zero means 2 minutes.
	IdleTimeout time.Duration
	// MaxConns bounds proven connections; zero means 1024.
	MaxConns int
	// MaxHandshakes bounds connections that have proven nothing yet; zero means 64.
	MaxHandshakes int
	// MaxCalls bounds running calls of one connection; zero means 1024. Calls
	// above it wait, heartbeats among them, so calls that wait long want a pool of their own.
	MaxCalls int
}

// Server answers calls of peers and operators on one listener.
type Server struct {
	config   ServerConfig
	listener net.Listener
	tls      *tls.Config
	methods  map[Role]*rpc.Server
	traffic  Traffic
	refusals *prometheus.CounterVec
	// handshakes keeps strangers from taking the places of proven connections.
	handshakes chan struct{}

	mu      sync.Mutex
	keys    map[Role][]string
	conns   map[*limitedConn]bool
	closing bool
	running sync.WaitGroup
}

// NewServer listens at once; Serve starts to answer.
func NewServer(config ServerConfig) (*Server, error) {
	fillServer(&config)
	security, err := newServerTLS()
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
		tls:      security,
		methods: map[Role]*rpc.Server{
			RolePeer:     rpc.NewServer(),
			RoleOperator: rpc.NewServer(),
		},
		refusals: promauto.With(config.Registerer).NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_peer_connections_refused_total",
			Help: "Connections refused on the peer listener, by reason.",
		}, []string{"reason"}),
		handshakes: make(chan struct{}, config.MaxHandshakes),
		conns:      map[*limitedConn]bool{},
	}
	s.SetKeys(config.PeerKeys, config.OperatorKeys)
	return s, nil
}

func fillServer(config *ServerConfig) {
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	fill(&config.MaxMessage, defaultMaxMessage)
	fill(&config.HandshakeTimeout, defaultHandshakeTimeout)
	fill(&config.IdleTimeout, defaultIdleTimeout)
	fill(&config.MaxConns, defaultMaxConns)
	fill(&config.MaxHandshakes, defaultMaxHandshakes)
	fill(&config.MaxCalls, defaultMaxCalls)
}

func fill[T comparable](target *T, value T) {
	var zero T
	if *target == zero {
		*target = value
	}
}

// Address returns host:port of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Traffic returns the server's byte counters.
func (s *Server) Traffic() *Traffic { return &s.traffic }

// SetKeys replaces the believed keys; connections that stand are kept.
func (s *Server) SetKeys(peerKeys, operatorKeys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys = map[Role][]string{
		RolePeer:     peerKeys,
		RoleOperator: operatorKeys,
	}
}

func (s *Server) keysOf(role Role) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[role]
}

// RegisterPeer offers a receiver's methods, in net/rpc's form, to peers only.
func (s *Server) RegisterPeer(name string, receiver any) error {
	return s.methods[RolePeer].RegisterName(name, receiver)
}

// RegisterOperator offers a receiver's methods, in net/rpc's form, to operators only.
func (s *Server) RegisterOperator(name string, receiver any) error {
	return s.methods[RoleOperator].RegisterName(name, receiver)
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
			// An accept fails for want of descriptors; a short wait lets some go.
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

// admit starts a handshake if there is a place for one.
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
	secure := tls.Server(&countedConn{
		Conn:    conn,
		traffic: &s.traffic,
	}, s.tls)
	role, err := welcome(secure, s.keysOf)
	<-s.handshakes
	if err != nil {
		s.refuse(conn, "handshake", err)
		return
	}
	_ = conn.SetDeadline(time.Time{})
	limited := newLimitedConn(secure, s.config.MaxMessage, s.config.IdleTimeout, defaultStallTimeout)
	if !s.enter(limited) {
		s.refuse(conn, "too_many_connections", nil)
		return
	}
	defer s.leave(limited)
	s.methods[role].ServeCodec(newCodec(limited, s.config.MaxCalls))
}

func (s *Server) enter(conn *limitedConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || len(s.conns) >= s.config.MaxConns {
		return false
	}
	s.conns[conn] = true
	s.running.Add(1)
	return true
}

func (s *Server) leave(conn *limitedConn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	s.running.Done()
}

// Close stops accepting and reading, lets running calls finish and answer,
// and cuts what is left when the context ends.
func (s *Server) Close(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	conns := make([]*limitedConn, 0, len(s.conns))
	for conn := range s.conns {
		conns = append(conns, conn)
	}
	s.mu.Unlock()
	_ = s.listener.Close()
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
