package rollout

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/config"
)

// Intervals and timeouts of table reads and of fetches from peers.
const (
	pollInterval      = 5 * time.Second
	startPollInterval = 250 * time.Millisecond
	// startPeerWait is how long a starting node defers reading the table while
	// it has had no contact with peers: a table restored from a backup may
	// return an old version.
	startPeerWait = 3 * time.Second
	readTimeout   = 3 * time.Second
	fetchTimeout  = 3 * time.Second
	// staleAfter is how long after the last confirmation from the table a node
	// reports that its version may not be the newest.
	staleAfter = 30 * time.Second
)

// Transport calls peers; *peer.Pool implements it.
type Transport interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Config configures a Rollout.
type Config struct {
	// Node and FailureDomain identify this node.
	Node          string
	FailureDomain string
	// Board holds the version in force, the members and the upstreams.
	Board *blackboard.Board
	// Table is the platform's table.
	Table zinniamast.Table
	// Transport calls peers.
	Transport Transport
	// Joined reports whether this node has received messages from peers; nil
	// means always.
	Joined func() bool
	// Logger receives version changes and failures; nil means slog.Default.
	Logger *slog.Logger
	// Registerer registers the metrics; nil registers none.
	Registerer prometheus.Registerer
}

// Rollout distributes and applies configuration versions on one node.
type Rollout struct {
	config  Config
	store   store
	applied *prometheus.CounterVec

	mu sync.Mutex
	// entry is the version in force on this node; nil before the first.
	entry *Entry
	// previous is the version that was in force before entry.
	previous *Entry
	// confirmedAt is when the table last confirmed that no newer version was
	// accepted.
	confirmedAt time.Time
	// failure is the error that kept the newest version from being applied on
	// this node.
	failure        string
	isFetching     bool
	reportedBehind uint64
	started        time.Time
}

// New returns a Rollout for one node; Run starts it.
func New(config Config) (*Rollout, error) {
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	if config.Joined == nil {
		config.Joined = func() bool { return true }
	}
	factory := promauto.With(config.Registerer)
	r := &Rollout{
		config: config,
		store: store{
			table: config.Table,
		},
		applied: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_config_applied_total",
			Help: "Configuration versions put in force, by where they came from.",
		}, []string{"source"}),
		started: time.Now(),
	}
	factory.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "zinniamast_config_version",
		Help: "Number of the configuration version in force.",
	}, func() float64 { return float64(r.Number()) })
	factory.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "zinniamast_config_unconfirmed_seconds",
		Help: "Time since the table confirmed that no newer version is accepted.",
	}, func() float64 { return r.sinceConfirmed().Seconds() })
	return r, nil
}

// Number returns the number of the version in force, zero before the first.
func (r *Rollout) Number() uint64 {
	if version := r.config.Board.Configuration.Current(); version != nil {
		return version.Number
	}
	return 0
}

// IsCurrent reports whether the table has confirmed within the last 30 s that no
// newer version is accepted. A node without that confirmation continues to
// serve with its version, but work on behalf of the whole fleet (orders to
// engines, buying instances) should wait.
func (r *Rollout) IsCurrent() bool { return r.sinceConfirmed() < staleAfter }

func (r *Rollout) sinceConfirmed() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.confirmedAt.IsZero() {
		return time.Since(r.started)
	}
	return time.Since(r.confirmedAt)
}

// Run loads the version in force and keeps it up to date until the context
// ends.
func (r *Rollout) Run(ctx context.Context) {
	wasStale := false
	for ctx.Err() == nil {
		r.poll(ctx)
		if isStale := !r.IsCurrent(); isStale != wasStale {
			wasStale = isStale
			r.config.Logger.Warn("config_currency_changed", "current", !isStale, "version", r.Number())
		}
		interval := pollInterval*3/4 + rand.N(pollInterval/2)
		if r.Number() == 0 {
			interval = startPollInterval
		}
		sleep(ctx, interval)
	}
}

// poll compares the version in force with the table and applies a newer one.
func (r *Rollout) poll(ctx context.Context) {
	// A table restored from a backup may return an old version. A starting node
	// has no newer version to compare with, so it waits for its peers first.
	if r.Number() == 0 && !r.config.Joined() && time.Since(r.started) < startPeerWait {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	start := time.Now()
	newest, err := r.store.head(ctx)
	if err != nil {
		r.config.Logger.Debug("config_read_failed", "error", err)
		return
	}
	number := r.Number()
	if newest.Number < number {
		r.reportTableBehind(newest.Number, number)
		return
	}
	if newest.Number > number {
		entry, _, err := r.store.current(ctx)
		if err != nil || entry == nil || entry.Number < newest.Number {
			r.config.Logger.Warn("config_read_failed", "version", newest.Number, "error", err)
			return
		}
		if r.apply(entry, "table") != nil {
			return
		}
	}
	r.markConfirmed(start)
}

func (r *Rollout) markConfirmed(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reportedBehind = 0
	if at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
}

// reportTableBehind logs once that the table has lost an accepted version. The
// node keeps its version; the next put continues from the higher number.
func (r *Rollout) reportTableBehind(tableNumber, localNumber uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reportedBehind != localNumber {
		r.reportedBehind = localNumber
		r.config.Logger.Error("config_table_behind", "table", tableNumber, "in_force", localNumber)
	}
}

// apply puts an entry in force if it is newer than the current version; an
// older entry is ignored without an error.
func (r *Rollout) apply(entry *Entry, source string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entry != nil && entry.Number <= r.entry.Number {
		r.reportFork(entry)
		return nil
	}
	raw, err := entry.Raw()
	if err != nil {
		return r.recordFailure(entry, err)
	}
	parsed, err := config.Parse(raw)
	if err != nil {
		return r.recordFailure(entry, err)
	}
	version := &blackboard.Version{
		Number: entry.Number,
		Raw:    raw,
		Config: parsed,
		Since:  time.Now(),
	}
	if !r.config.Board.Configuration.Apply(version) {
		return nil
	}
	r.previous, r.entry = r.entry, entry
	r.failure = ""
	r.applied.WithLabelValues(source).Inc()
	r.config.Logger.Info("config_in_force", "version", entry.Number, "source", source, "who", entry.Who, "why", entry.Why)
	return nil
}

// reportFork logs two versions with the same number, which only a table that
// lost accepted writes can cause. The next put is numbered above both and
// resolves the fork.
func (r *Rollout) reportFork(entry *Entry) {
	if entry.Number == r.entry.Number && entry.Token != r.entry.Token {
		r.config.Logger.Error("config_fork", "version", entry.Number, "in_force", r.entry.When, "other", entry.When)
	}
}

// recordFailure records a version that this program cannot parse, for example
// because a newer release wrote it. The node keeps its version and reports the
// error.
func (r *Rollout) recordFailure(entry *Entry, err error) error {
	r.failure = err.Error()
	r.config.Logger.Error("config_not_applied", "version", entry.Number, "error", err)
	return err
}

// ObserveVersion handles a peer's report of a newer version and starts fetching it. It
// does not block.
func (r *Rollout) ObserveVersion(address string, number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isFetching || number <= r.Number() {
		return
	}
	r.isFetching = true
	go r.fetch(address)
}

func (r *Rollout) fetch(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	var reply FetchReply
	err := r.config.Transport.Call(ctx, address, ServiceName+".Fetch", Fetch{
		After: r.Number(),
	}, &reply)
	r.mu.Lock()
	r.isFetching = false
	r.mu.Unlock()
	if err != nil {
		r.config.Logger.Warn("config_fetch_failed", "address", address, "error", err)
		return
	}
	if reply.Entry != nil {
		_ = r.apply(reply.Entry, "fetch")
	}
}
