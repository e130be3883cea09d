// Package tablebudget implements the client through which a node makes all
// requests to the platform's table. It keeps the node within its share of the
// table's rate, batches concurrent writes, resolves writes whose answer was
// lost and fails fast while the table is unavailable.
package tablebudget

import (
	"context"
	"crypto/rand"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"zinniamast"
)

// Defaults of the fields of Config that are zero, and fixed limits.
const (
	defaultWrites      = 1
	defaultReads       = 5
	defaultMaxBatch    = 100
	defaultInflight    = 4
	defaultMaxQueue    = 4096
	defaultCallTimeout = 2 * time.Second
	defaultDeadline    = 5 * time.Second
	// minBurst is the smallest burst of the token buckets, in requests, so that
	// a node that seldom writes does not wait. A node with a large share may
	// burst up to the requests of burstWindow.
	minBurst    = 10
	burstWindow = 100 * time.Millisecond
	// maxBatchBytes keeps a transaction below the 4 MiB that the protocol allows.
	maxBatchBytes = 2 << 20
)

// Config configures a Client.
type Config struct {
	// Table is the platform's table.
	Table zinniamast.Table
	// WritesPerSecond and ReadsPerSecond are this node's share of the fleet's
	// rate, in requests per second; zero means 1 and 5.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// MaxBatch is the maximum number of items in a transaction; zero means 100
	// and 1 disables batching.
	MaxBatch int
	// Inflight is the maximum number of concurrent write requests; zero means 4.
	Inflight int
	// MaxQueue is the maximum number of queued Write calls; zero means 4096.
	MaxQueue int
	// CallTimeout bounds one request to the table; zero means two seconds.
	CallTimeout time.Duration
	// Deadline bounds a call whose context has no deadline; zero means five seconds.
	Deadline time.Duration
	// Registerer registers the metrics; nil registers none.
	Registerer prometheus.Registerer
}

// Client is the rate-limited client of the table. It implements zinniamast.Table.
type Client struct {
	config  Config
	reads   *rate.Limiter
	writes  *rate.Limiter
	breaker *breaker
	metrics *metrics
	// prefix and sequence form tokens that are unique across processes.
	prefix   string
	sequence atomic.Uint64

	// latencyNanos is the smoothed latency of requests to the table.
	latencyNanos atomic.Int64

	stop    context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	// slots limits the in-flight write requests.
	slots chan struct{}

	// mu guards the queue and the calls in it. No other mutex of the package
	// is taken while it is held.
	mu    sync.Mutex
	ready *sync.Cond
	queue []*writeCall
}

// New returns a Client that runs until Close.
func New(c Config) *Client {
	c = c.withDefaults()
	stop, cancel := context.WithCancel(context.Background())
	p := &Client{
		config:  c,
		reads:   newLimiter(c.ReadsPerSecond),
		writes:  newLimiter(c.WritesPerSecond),
		metrics: newMetrics(c.Registerer),
		prefix:  rand.Text() + "-",
		stop:    stop,
		cancel:  cancel,
		slots:   make(chan struct{}, c.Inflight),
	}
	p.ready = sync.NewCond(&p.mu)
	p.breaker = newBreaker(p)
	p.running.Go(p.dispatch)
	return p
}

func (c Config) withDefaults() Config {
	if c.WritesPerSecond == 0 {
		c.WritesPerSecond = defaultWrites
	}
	if c.ReadsPerSecond == 0 {
		c.ReadsPerSecond = defaultReads
	}
	if c.MaxBatch == 0 {
		c.MaxBatch = defaultMaxBatch
	}
	if c.Inflight == 0 {
		c.Inflight = defaultInflight
	}
	if c.MaxQueue == 0 {
		c.MaxQueue = defaultMaxQueue
	}
	if c.CallTimeout == 0 {
		c.CallTimeout = defaultCallTimeout
	}
	if c.Deadline == 0 {
		c.Deadline = defaultDeadline
	}
	return c
}

func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(minBurst, int(perSecond*burstWindow.Seconds())))
}

// Close fails the queued calls and returns when all goroutines of the Client
// have ended.
func (p *Client) Close() {
	p.mu.Lock()
	p.cancel()
	p.ready.Broadcast()
	p.mu.Unlock()
	p.running.Wait()
	p.failQueued()
}

// spawn runs f in a goroutine that Close waits for. It returns false and does
// not run f if the Client is closed.
func (p *Client) spawn(f func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stop.Err() != nil {
		return false
	}
	p.running.Go(f)
	return true
}

// Available reports whether the table counts as available, which is while the
// circuit breaker is closed.
func (p *Client) Available() bool { return p.breaker.isClosed() }

// newToken returns a unique token for a write.
func (p *Client) newToken() string {
	return p.prefix + strconv.FormatUint(p.sequence.Add(1), 36)
}

// withDeadline adds the configured deadline to a context that has none.
func (p *Client) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, p.config.Deadline)
}

// drainBucket empties a token bucket. After an outage every node has a full
// bucket and queued writes; sent all at once they would overload the table again.
func drainBucket(l *rate.Limiter) {
	now := time.Now()
	l.AllowN(now, int(l.TokensAt(now)))
}
