package claims

import (
	"context"
	"crypto/rand"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniamast"
)

// Config holds the stores, limits and timeouts of a node's claims.
type Config struct {
	// Table is the platform's table; its client may batch concurrent writes.
	Table zinniamast.Table
	// Node names this process. A restarted process may have the same name: the
	// nonces of its claims distinguish it.
	Node string
	// Retention is how long the table retains an ended claim; 24 h if zero.
	Retention time.Duration
	// AcquireTimeout is the timeout for acquiring a claim while the table does not
	// respond; 2 s if zero.
	AcquireTimeout time.Duration
	// CallTimeout is the timeout of one table call; 1 s if zero.
	CallTimeout time.Duration
	// SettleDelay is how long after a claim's deadline a call that was sent can still
	// run, including clock skew between nodes; 30 s if zero.
	SettleDelay time.Duration
	// MaxAnswer is the maximum body size of answers stored in the table, in
	// bytes; 128 KiB if zero.
	MaxAnswer int
	// Objects stores the answers above MaxAnswer; if nil, they are not stored.
	Objects zinniamast.ObjectStore
	// MaxObject is the maximum body size of answers in the object store, in
	// bytes; 8 MiB if zero.
	MaxObject int
	// MaxObjectBytes bounds the bytes of concurrent object writes, and separately
	// those of concurrent object reads; 16 MiB each if zero.
	MaxObjectBytes int64
	// ObjectTimeout is the timeout for writing or reading one object, retries
	// included; 5 s if zero.
	ObjectTimeout time.Duration
	// MaxUnsaved bounds the claims in memory that are held or wait to be saved;
	// 10,000 if zero.
	MaxUnsaved int
	// Logger receives a warning for each claim that ends unknown; nil discards.
	Logger *slog.Logger
	// Registerer registers the metrics; if nil, they are not registered.
	Registerer prometheus.Registerer
}

// Defaults for fields left zero.
const (
	defaultMaxObject      = 8 << 20
	defaultMaxObjectBytes = 16 << 20
	defaultObjectTimeout  = 5 * time.Second
	defaultRetention      = 24 * time.Hour
	defaultAcquireTimeout = 2 * time.Second
	defaultCallTimeout    = time.Second
	defaultSettleDelay    = 30 * time.Second
	defaultMaxAnswer      = 128 << 10
	defaultMaxUnsaved     = 10_000
)

func (c *Config) setDefaults() {
	if c.Retention == 0 {
		c.Retention = defaultRetention
	}
	if c.AcquireTimeout == 0 {
		c.AcquireTimeout = defaultAcquireTimeout
	}
	if c.CallTimeout == 0 {
		c.CallTimeout = defaultCallTimeout
	}
	if c.SettleDelay == 0 {
		c.SettleDelay = defaultSettleDelay
	}
	if c.MaxAnswer == 0 {
		c.MaxAnswer = defaultMaxAnswer
	}
	if c.MaxObject == 0 {
		c.MaxObject = defaultMaxObject
	}
	if c.MaxObjectBytes == 0 {
		c.MaxObjectBytes = defaultMaxObjectBytes
	}
	if c.ObjectTimeout == 0 {
		c.ObjectTimeout = defaultObjectTimeout
	}
	if c.MaxUnsaved == 0 {
		c.MaxUnsaved = defaultMaxUnsaved
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
}

// Claims acquires and ends claims for one node. Locks are acquired in the order
// Claims, one Claim, writers.
type Claims struct {
	config     Config
	metrics    *metrics
	closing    context.Context
	close      context.CancelFunc
	writeSlots chan struct{}
	objects    *objects

	writers writers
	// unsaved counts the outcomes that are not stored in the table yet.
	unsaved atomic.Int64

	mu sync.Mutex
	// local contains the claims that this node holds or has not saved yet, by name.
	local map[string]*Claim
}

// maxConcurrentWrites bounds the outcomes that are written concurrently. Concurrent
// writes share a table call, so it need not be large.
const maxConcurrentWrites = 64

// New returns the claims of one node.
func New(config Config) *Claims {
	config.setDefaults()
	closing, cancel := context.WithCancel(context.Background())
	m := newMetrics(config.Registerer)
	return &Claims{
		config:     config,
		metrics:    m,
		objects:    newObjects(&config, m),
		closing:    closing,
		close:      cancel,
		writeSlots: make(chan struct{}, maxConcurrentWrites),
		local:      map[string]*Claim{},
	}
}

// Close waits until every outcome is saved or ctx ends, and returns the number
// of unsaved claims: their keys will read as unknown.
func (c *Claims) Close(ctx context.Context) int {
	for c.unsaved.Load() > 0 && wait(ctx, closePollInterval) == nil {
		continue
	}
	// A hanging object store must not use up the time that a node has to shut down.
	grace, cancel := context.WithTimeout(ctx, uploadGrace)
	defer cancel()
	for c.writers.isBusy() && wait(grace, closePollInterval) == nil {
		continue
	}
	c.close()
	c.writers.stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.local)
}

// uploadGrace is how long Close waits for pending uploads once every outcome is saved.
const uploadGrace = 500 * time.Millisecond

// closePollInterval is how often Close checks whether all outcomes are saved.
const closePollInterval = 5 * time.Millisecond

// writers tracks the goroutines that save outcomes and upload answers.
type writers struct {
	mu      sync.Mutex
	stopped bool
	count   int
	running sync.WaitGroup
}

// start runs f in a goroutine; after stop it does not run f and reports false.
func (w *writers) start(f func()) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return false
	}
	w.count++
	w.running.Go(func() {
		f()
		w.mu.Lock()
		defer w.mu.Unlock()
		w.count--
	})
	return true
}

func (w *writers) isBusy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count > 0
}

// stop prevents new goroutines and waits for the running ones to return.
func (w *writers) stop() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	w.running.Wait()
}

// newNonce returns a random text that is unique to one claim.
func newNonce() string { return rand.Text() }

// removeLocal removes a claim that need not be answered from memory any more.
func (c *Claims) removeLocal(claim *Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.local[claim.name] == claim {
		delete(c.local, claim.name)
	}
}

// wait sleeps for d, or returns the error of ctx if it ends first.
func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
