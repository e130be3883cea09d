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

// Config says where claims are kept and how long.
type Config struct {
	// Table is the platform's table; concurrent writes may share a call below it.
	Table zinniamast.Table
	// Node names this process; a restarted one has another name or is told
	// apart by its claims' nonces.
	Node string
	// Retention is how long an ended claim is kept; 24 h if zero.
	Retention time.Duration
	// Patience bounds the wait for a claim while the table does not answer; 2 s if zero.
	Patience time.Duration
	// CallTimeout bounds one table call; 1 s if zero.
	CallTimeout time.Duration
	// Settle is how long after a claim's deadline a call that was sent can still
	// run, clock differences included; 30 s if zero.
	Settle time.Duration
	// MaxAnswer bounds the answers that are kept, in bytes; 128 KiB if zero.
	MaxAnswer int
	// Objects takes the answers above MaxAnswer; nil keeps none of them.
	Objects zinniamast.ObjectStore
	// MaxObject bounds the answers that go there, in bytes; 8 MiB if zero.
	MaxObject int
	// MaxObjectBytes bounds what is on its way there at once, and as much again
	// on its way back, in bytes; 16 MiB if zero.
	MaxObjectBytes int64
	// ObjectTimeout bounds the writing or reading of one object; 5 s if zero.
	ObjectTimeout time.Duration
	// MaxUnsaved bounds the outcomes that wait for the table; 10,000 if zero.
	MaxUnsaved int
	// Logger hears of each claim that ends unknown; nil is silent.
	Logger *slog.Logger
	// Registerer takes the counters; nil keeps them unregistered.
	Registerer prometheus.Registerer
}

// Defaults for fields left zero.
const (
	defaultMaxObject      = 8 << 20
	defaultMaxObjectBytes = 16 << 20
	defaultObjectTimeout  = 5 * time.Second
	defaultRetention      = 24 * time.Hour
	defaultPatience       = 2 * time.Second
	defaultCallTimeout    = time.Second
	defaultSettle         = 30 * time.Second
	defaultMaxAnswer      = 128 << 10
	defaultMaxUnsaved     = 10_000
)

func (c *Config) setDefaults() {
	if c.Retention == 0 {
		c.Retention = defaultRetention
	}
	if c.Patience == 0 {
		c.Patience = defaultPatience
	}
	if c.CallTimeout == 0 {
		c.CallTimeout = defaultCallTimeout
	}
	if c.Settle == 0 {
		c.Settle = defaultSettle
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

// Claims takes and ends claims for one node. Lock order: Claims, one Claim, writers.
type Claims struct {
	config     Config
	metrics    *metrics
	closing    context.Context
	close      context.CancelFunc
	writeSlots chan struct{}
	objects    *objects

	writers writers
	// unsaved counts the outcomes that wait for the table.
	unsaved atomic.Int64

	mu sync.Mutex
	// local holds the claims that this node holds or has not saved yet.
	local map[string]*Claim
}

// maxConcurrentWrites bounds the outcomes that are written at once; writes that run
// concurrently share a table call, so it need not be large.
const maxConcurrentWrites = 64

// New returns a node's claims.
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

// Close waits until every outcome is saved, or until ctx ends, and returns how
// many are not: their keys will read as unknown.
func (c *Claims) Close(ctx context.Context) int {
	for c.unsaved.Load() > 0 && wait(ctx, closePollInterval) == nil {
		continue
	}
	// An object store that hangs must not use up the time that a node has to leave.
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

// uploadGrace is how long Close waits for large answers once every outcome is saved.
const uploadGrace = 500 * time.Millisecond

// closePollInterval is how often Close looks whether all is saved.
const closePollInterval = 5 * time.Millisecond

// writers counts the goroutines that save outcomes.
type writers struct {
	mu      sync.Mutex
	stopped bool
	count   int
	running sync.WaitGroup
}

// start runs f in a goroutine; after stop it reports false instead.
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

// stop bars new goroutines and waits for those that run.
func (w *writers) stop() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	w.running.Wait()
}

// newNonce returns a name that no other claim has.
func newNonce() string { return rand.Text() }

// removeLocal drops a claim that the table now answers for.
func (c *Claims) removeLocal(claim *Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.local[claim.name] == claim {
		delete(c.local, claim.name)
	}
}

// wait sleeps unless ctx ends first.
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
