// Package overload closes new connections unread while this instance cannot read in time
// what it has accepted. Their callers then try another instance at once, while those whose
// requests it reads are served as before.
package overload

import (
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

const (
	// A request waits for the processor several times before its first event, and callers
	// want that within some hundred milliseconds.
	defaultMaxWait    = 50 * time.Millisecond
	defaultMaxWaiting = 32
	// overloadTime is how long waits must have been too long: after a pause of the process
	// the first ones are, although it can read the others in time.
	overloadTime = 200 * time.Millisecond
	// measuredFor is how long a measured wait tells how long the next one will be.
	measuredFor = 100 * time.Millisecond
	// logInterval is the time between two lines of the log about refused connections.
	logInterval = time.Second
)

// Config configures a Gate.
type Config struct {
	// MaxWait is the wait between the acceptance of a connection and the first read from it
	// above which further connections are refused, if it has been so long for a while. Zero
	// means 50 ms.
	MaxWait time.Duration
	// MaxWaiting bounds the accepted connections that nobody has begun to read. Zero means 32.
	MaxWaiting int
	// Logger logs that connections are refused, at most once a second; nil means slog's
	// default.
	Logger *slog.Logger
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
}

// Gate decides which new connections are taken. The wait until the first read from a
// connection shows how far the processor is behind, whatever keeps it busy.
type Gate struct {
	config  Config
	refused prometheus.Counter

	mu sync.Mutex
	// waiting holds the accepted connections in order; those at its front may have been read.
	waiting []*Ticket
	unread  int
	// wait is the wait of the connection that was read last, at measuredAt.
	wait       time.Duration
	measuredAt time.Time
	// overSince is when waits began to be too long; zero while they are not.
	overSince time.Time
	// refusals counts the refused connections since the last line of the log, at loggedAt.
	refusals int
	loggedAt time.Time
}

// Ticket is an accepted connection.
type Ticket struct {
	gate     *Gate
	accepted time.Time
	isRead   bool
}

// NewGate returns a gate that refuses nothing yet.
func NewGate(config Config) *Gate {
	if config.MaxWait == 0 {
		config.MaxWait = defaultMaxWait
	}
	if config.MaxWaiting == 0 {
		config.MaxWaiting = defaultMaxWaiting
	}
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	return &Gate{
		config: config,
		refused: promauto.With(config.Registerer).NewCounter(prometheus.CounterOpts{
			Name: "zinniamast_connections_refused_total",
			Help: "New connections of callers that were closed unread because this instance was overloaded.",
		}),
	}
}

// Admit returns the ticket of a connection that was just accepted; false if it is to be
// closed.
func (g *Gate) Admit() (*Ticket, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for len(g.waiting) > 0 && g.waiting[0].isRead {
		g.waiting = g.waiting[1:]
	}
	if !g.mayTake(now) {
		g.recordRefusal(now)
		return nil, false
	}
	t := &Ticket{
		gate:     g,
		accepted: now,
	}
	g.waiting = append(g.waiting, t)
	g.unread++
	return t, true
}

// mayTake reports whether a connection would be read in time. During an overload, one
// connection at a time shows whether it has passed. The caller holds the lock.
func (g *Gate) mayTake(now time.Time) bool {
	if g.unread >= g.config.MaxWaiting {
		return false
	}
	if g.unread > 0 {
		g.observe(now.Sub(g.waiting[0].accepted), now)
	}
	if g.overSince.IsZero() || now.Sub(g.overSince) < overloadTime {
		return true
	}
	return g.unread == 0 && now.Sub(g.measuredAt) >= measuredFor
}

// observe records since when waits have been too long. A connection that still waits may
// only show that they are. The caller holds the lock.
func (g *Gate) observe(wait time.Duration, now time.Time) {
	if wait > g.config.MaxWait && g.overSince.IsZero() {
		g.overSince = now
	}
}

// recordRefusal counts and logs a refused connection. The caller holds the lock.
func (g *Gate) recordRefusal(now time.Time) {
	g.refused.Inc()
	g.refusals++
	if now.Sub(g.loggedAt) < logInterval {
		return
	}
	g.config.Logger.Warn("overloaded, closing new connections unread", "refused", g.refusals, "unread", g.unread, "wait", g.wait.Round(time.Millisecond))
	g.refusals, g.loggedAt = 0, now
}

// Read reports that the connection is about to be read. Further calls have no effect.
func (t *Ticket) Read() {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.isRead {
		return
	}
	t.isRead = true
	g.unread--
	g.measuredAt = time.Now()
	g.wait = g.measuredAt.Sub(t.accepted)
	if g.wait <= g.config.MaxWait {
		g.overSince = time.Time{}
	}
	g.observe(g.wait, g.measuredAt)
}
