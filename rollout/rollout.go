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

// Timing of reads and repairs.
const (
	pollInterval  = 5 * time.Second
	startInterval = 250 * time.Millisecond
	// startWait is how long a starting node holds back what the table says
	// until it has heard peers: the table's answer may be old.
	startWait    = 3 * time.Second
	readTimeout  = 3 * time.Second
	fetchTimeout = 3 * time.Second
	// staleAfter is how long a node may go without confirmation that its
	// version is the newest before it says so.
	staleAfter = 30 * time.Second
)

// Transport calls peers; *peer.Pool is one.
type Transport interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Config configures a node's part in rollouts.
type Config struct {
	// Node and FailureDomain are this node's.
	Node          string
	FailureDomain string
	// Board holds the version in force, the members and the upstreams.
	Board *blackboard.Board
	// Table is the platform's table.
	Table zinniamast.Table
	// Transport calls peers.
	Transport Transport
	// Joined says whether peers have been heard; nil means always.
	Joined func() bool
	// Logger hears of versions; nil means slog's default.
	Logger *slog.Logger
	// Registerer takes the metrics; nil registers none.
	Registerer prometheus.Registerer
}

// Rollout is one node's part in bringing configuration into force.
type Rollout struct {
	config  Config
	store   store
	applied *prometheus.CounterVec

	mu sync.Mutex
	// entry is the version in force here; nil before the first.
	entry *Entry
	// before is the version that was in force before it.
	before *Entry
	// confirmed is when the table last agreed that nothing newer is accepted.
	confirmed time.Time
	// failure is why the newest version could not be put in force here.
	failure  string
	fetching bool
	behind   uint64
	started  time.Time
}

// New returns a node's rollout; Run starts it.
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
	}, func() float64 { return r.unconfirmed().Seconds() })
	return r, nil
}

// Number returns the number of the version in force, zero before the first.
func (r *Rollout) Number() uint64 {
	if version := r.config.Board.Configuration.Current(); version != nil {
		return version.Number
	}
	return 0
}

// Current says whether this node has confirmed within 30 s that no newer
// version is accepted. A node that has not goes on serving with what it has;
// what acts on the fleet's behalf (orders to engines, buying) should wait.
func (r *Rollout) Current() bool { return r.unconfirmed() < staleAfter }

func (r *Rollout) unconfirmed() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.confirmed.IsZero() {
		return time.Since(r.started)
	}
	return time.Since(r.confirmed)
}

// Run learns the version in force and keeps it current until the context ends.
func (r *Rollout) Run(ctx context.Context) {
	stale := false
	for ctx.Err() == nil {
		r.poll(ctx)
		if now := !r.Current(); now != stale {
			stale = now
			r.config.Logger.Warn("config_currency_changed", "current", !now, "version", r.Number())
		}
		interval := pollInterval*3/4 + rand.N(pollInterval/2)
		if r.Number() == 0 {
			interval = startInterval
		}
		pause(ctx, interval)
	}
}

// poll compares with the table.
func (r *Rollout) poll(ctx context.Context) {
	// What the table says may be old after it was restored. A starting node
	// knows nothing newer itself, so it hears its peers first.
	if r.Number() == 0 && !r.config.Joined() && time.Since(r.started) < startWait {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := time.Now()
	newest, err := r.store.head(ctx)
	if err != nil {
		r.config.Logger.Debug("config_read_failed", "error", err)
		return
	}
	number := r.Number()
	if newest.Number < number {
		r.noteBehind(newest.Number, number)
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
	r.confirm(began)
}

func (r *Rollout) confirm(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behind = 0
	if at.After(r.confirmed) {
		r.confirmed = at
	}
}

// noteBehind tells once that the table has forgotten an accepted version. The
// node stays where it is; the next put goes on from the higher number.
func (r *Rollout) noteBehind(table, here uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.behind != here {
		r.behind = here
		r.config.Logger.Error("config_table_behind", "table", table, "in_force", here)
	}
}

// apply puts an entry in force if it is newer than what is; older ones are no error.
func (r *Rollout) apply(entry *Entry, source string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entry != nil && entry.Number <= r.entry.Number {
		r.noteFork(entry)
		return nil
	}
	raw, err := entry.Raw()
	if err != nil {
		return r.failed(entry, err)
	}
	parsed, err := config.Parse(raw)
	if err != nil {
		return r.failed(entry, err)
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
	r.before, r.entry = r.entry, entry
	r.failure = ""
	r.applied.WithLabelValues(source).Inc()
	r.config.Logger.Info("config_in_force", "version", entry.Number, "source", source, "who", entry.Who, "why", entry.Why)
	return nil
}

// noteFork tells of two versions with one number, which only a table that
// lost accepted writes can cause; the next put, above both, ends it.
func (r *Rollout) noteFork(entry *Entry) {
	if entry.Number == r.entry.Number && entry.Token != r.entry.Token {
		r.config.Logger.Error("config_fork", "version", entry.Number, "in_force", r.entry.When, "other", entry.When)
	}
}

// failed notes a version that this program cannot read, as when a newer
// program wrote it; the node keeps what it has and shows why.
func (r *Rollout) failed(entry *Entry, err error) error {
	r.failure = err.Error()
	r.config.Logger.Error("config_not_applied", "version", entry.Number, "error", err)
	return err
}

// Newer hears that a peer has a newer version, and fetches it. It does not block.
func (r *Rollout) Newer(address string, number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fetching || number <= r.Number() {
		return
	}
	r.fetching = true
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
	r.fetching = false
	r.mu.Unlock()
	if err != nil {
		r.config.Logger.Warn("config_fetch_failed", "address", address, "error", err)
		return
	}
	if reply.Entry != nil {
		_ = r.apply(reply.Entry, "fetch")
	}
}
