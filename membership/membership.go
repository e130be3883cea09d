package membership

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

// Protocol timing. In the worst case a silent death is broadcast after one heartbeat and
// the suspicion timeout, 1.7 s in all.
const (
	stepInterval         = 100 * time.Millisecond
	heartbeatInterval    = 500 * time.Millisecond
	probeTimeout         = 700 * time.Millisecond
	indirectTimeout      = 400 * time.Millisecond
	baseSuspicionTimeout = 1100 * time.Millisecond
	exchangeTimeout      = 3 * time.Second
	coalesceDelay        = 10 * time.Millisecond
	summaryInterval      = 2 * time.Second
	deadProbeInterval    = 5 * time.Second
	seedInterval         = 30 * time.Second
	// emptyDomainSeedInterval is how often a node contacts seeds while it knows no other
	// member of its own failure domain, which may have none.
	emptyDomainSeedInterval = 2 * time.Second
	tableSyncInterval       = time.Second
	deadRetention           = 10 * time.Minute
	domainRetention         = time.Hour
	refutationMemory        = time.Minute
)

// Protocol limits. They bound what a node sends regardless of the size of the fleet.
const (
	monitoredSuccessors = 2
	maxMeshSize         = 40
	maxProbeHelpers     = 3
	representativeCount = 2
	maxContacts         = 3
	domainsPerTick      = 1
	maxGossipItems      = 20000
	maxGossipPerMessage = 64
	maxSeedsPerTick     = 8
)

// Config configures the membership of a node.
type Config struct {
	// ID, FailureDomain, Address and Weight describe this node.
	ID            string
	FailureDomain string
	Address       string
	Weight        float64
	// Seeds are the addresses of some other nodes, from the settings.
	Seeds []string
	// List is the instance list of the platform; nil if there is none.
	List zinniamast.InstanceList
	// SeedInterval is how often the representatives of a failure domain contact nodes
	// that are not known yet; 30 s if zero. A shorter interval is useful where reading
	// the list is free.
	SeedInterval time.Duration
	// Members is the shared table to update.
	Members *blackboard.Members
	// Transport sends the messages.
	Transport Transport
	// Logger logs membership changes; nil means slog's default.
	Logger *slog.Logger
	// ConfigVersion returns the configuration version in force on this node; may be nil.
	// It is not called before Run or Receive.
	ConfigVersion func() uint64
	// OnNewerConfig is called when a peer has a newer configuration; it must not block.
	// May be nil.
	OnNewerConfig func(address string, version uint64)
}

// Membership runs the protocol on one node. In the lock order its lock comes before that
// of the blackboard; it is not held during calls to other nodes.
type Membership struct {
	config   Config
	selfHash uint64

	mu sync.Mutex
	// own is the record of this node.
	own      Record
	departed bool
	joined   bool
	members  map[string]*member
	domains  map[string]*domain
	gossip   gossipTable
	// isolated means that the last indirect probe of a suspected member got no answer
	// from any helper.
	isolated bool
	// lacksGossip means that this node was cut off or paused and may have missed items that
	// are published only once. It asks the next member that it reaches for them.
	lacksGossip bool
	// asks counts the members that were asked for it since askedAt, see shouldAsk.
	asks    int
	askedAt time.Time

	heartbeatAt time.Time
	summaryAt   time.Time
	deadProbeAt time.Time
	seedAt      time.Time
	tableAt     time.Time
	stepAt      time.Time
	// retriesLeft is the number of exchanges that may start beside unanswered ones until the next
	// heartbeat.
	retriesLeft int
	// bulkBudgetBytes is the number of bytes of bulk gossip that may be sent now.
	bulkBudgetBytes int

	wake chan struct{}
	// wait counts the goroutines of exchanges, probes and joins in progress.
	wait sync.WaitGroup
}

// New returns the membership of a node; Run starts it.
func New(config Config) *Membership {
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	if config.SeedInterval == 0 {
		config.SeedInterval = seedInterval
	}
	if config.ConfigVersion == nil {
		config.ConfigVersion = func() uint64 { return 0 }
	}
	if config.OnNewerConfig == nil {
		config.OnNewerConfig = func(string, uint64) {}
	}
	now := time.Now()
	m := &Membership{
		config:   config,
		selfHash: hash(config.ID),
		own: Record{
			ID:          config.ID,
			Address:     config.Address,
			Incarnation: uint64(now.UnixMilli()),
			Weight:      config.Weight,
		},
		members: map[string]*member{},
		domains: map[string]*domain{},
		gossip:  newGossipTable(uint64(now.UnixMilli())),
		wake:    make(chan struct{}, 1),
	}
	m.writeSelf(0)
	return m
}

// Receiver returns the RPC receiver that answers peers.
func (m *Membership) Receiver() *Receiver {
	return &Receiver{
		m: m,
	}
}

// Run runs the protocol until the context ends.
func (m *Membership) Run(ctx context.Context) {
	defer m.wait.Wait()
	for ctx.Err() == nil {
		m.step(ctx)
		m.waitForStep(ctx)
	}
}

// waitForStep waits until the next step is due or something urgent is queued.
func (m *Membership) waitForStep(ctx context.Context) {
	next, cancel := context.WithTimeout(ctx, stepInterval)
	defer cancel()
	select {
	case <-next.Done():
	case <-m.wake:
		// Gossip often arrives in bursts; a short delay batches it into one message.
		time.Sleep(coalesceDelay)
	}
}

// Joined reports whether a message of another node has arrived or a first round of seeds
// has been tried.
func (m *Membership) Joined() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.joined
}

// Isolated reports whether this node suspects a member and could reach no other node to
// verify it.
func (m *Membership) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isolated
}

// AnnounceLeaving announces to the failure domain that this node takes no new requests.
func (m *Membership) AnnounceLeaving() { m.setOwnState(Leaving) }

// AnnounceDeparture announces to the failure domain that this node has shut down. It waits until
// the members have received the announcement or the context ends.
func (m *Membership) AnnounceDeparture(ctx context.Context) {
	m.setOwnState(Dead)
	for m.hasUnsent() && ctx.Err() == nil {
		m.flush(ctx)
		time.Sleep(coalesceDelay)
	}
}

func (m *Membership) setOwnState(state State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.own.State >= state {
		return
	}
	m.own.State = state
	m.departed = state == Dead
	m.writeSelf(m.config.ConfigVersion())
	m.broadcastRecord(m.own.ID)
}

// writeSelf writes this node's entry to the shared table; the caller holds the lock.
func (m *Membership) writeSelf(version uint64) {
	own := m.own
	m.config.Members.Update(own.ID, func(entry *blackboard.Member) bool {
		fillMember(entry, own, m.config.FailureDomain)
		entry.Heard = time.Now()
		entry.ConfigVersion = version
		return true
	})
}

func fillMember(entry *blackboard.Member, record Record, failureDomain string) {
	entry.FailureDomain = failureDomain
	entry.Address = record.Address
	entry.Incarnation = record.Incarnation
	entry.Weight = record.Weight
	entry.Leaving = record.State == Leaving
	entry.Dead = record.State == Dead
}

func (m *Membership) wakeLoop() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}
