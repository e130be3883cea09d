package membership

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

// Timing of the protocol. Worst case from a silent death to the push of the
// news: one heartbeat, then the suspicion window, 1.7 s in all.
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
	// emptyDomainSeedInterval is how often a node asks that knows nobody in its own
	// failure domain, where there may be nobody.
	emptyDomainSeedInterval = 2 * time.Second
	tableSyncInterval       = time.Second
	deadRetention           = 10 * time.Minute
	domainRetention         = time.Hour
	refutationMemory        = time.Minute
)

// Sizes of the protocol; they bound what a node sends whatever the fleet's size.
const (
	watchedSuccessors   = 2
	maxMeshSize         = 40
	maxProbeHelpers     = 3
	representativeCount = 2
	maxContacts         = 3
	domainsPerTick      = 1
	maxGossipItems      = 20000
	maxGossipPerMessage = 64
	maxSeedsPerTick     = 8
)

// Config configures a node's membership.
type Config struct {
	// ID, FailureDomain, Address and Weight describe this node.
	ID            string
	FailureDomain string
	Address       string
	Weight        float64
	// Seeds are addresses of some other nodes, from the settings.
	Seeds []string
	// List is the platform's instance list; nil where there is none.
	List zinniamast.InstanceList
	// SeedInterval is how often those who represent their failure domain ask
	// nodes not known yet; 30 s if zero. Less serves where the list costs nothing.
	SeedInterval time.Duration
	// Members is the table to keep.
	Members *blackboard.Members
	// Transport carries the messages.
	Transport Transport
	// Logger hears of members that come and go; nil means slog's default.
	Logger *slog.Logger
	// ConfigVersion returns the configuration version in force here; may be
	// nil. It is not called before Run or Receive.
	ConfigVersion func() uint64
	// OnNewerConfig hears of a peer with a newer configuration; it must not block. May be nil.
	OnNewerConfig func(address string, version uint64)
}

// Membership is one node's part in the protocol. Its lock stands before the
// blackboard's in the lock order and is not held during calls to other nodes.
type Membership struct {
	config   Config
	selfHash uint64

	mu sync.Mutex
	// own is this node's record.
	own      Record
	departed bool
	joined   bool
	members  map[string]*member
	domains  map[string]*domain
	gossip   gossipTable
	// isolated means that the last doubt about a member could be shared with nobody.
	isolated bool

	heartbeatAt time.Time
	summaryAt   time.Time
	deadProbeAt time.Time
	seedAt      time.Time
	tableAt     time.Time
	stepAt      time.Time
	// bulkBudgetBytes is what bulk news may still cost now.
	bulkBudgetBytes int

	wake chan struct{}
	// wait counts the exchanges in flight.
	wait sync.WaitGroup
}

// New returns a node's membership; Run starts it.
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

// Receiver returns what answers peers.
func (m *Membership) Receiver() *Receiver {
	return &Receiver{
		m: m,
	}
}

// Run takes part until the context ends.
func (m *Membership) Run(ctx context.Context) {
	defer m.wait.Wait()
	for ctx.Err() == nil {
		m.step(ctx)
		m.waitForStep(ctx)
	}
}

// waitForStep waits until the next step is due or something urgent waits to be sent.
func (m *Membership) waitForStep(ctx context.Context) {
	next, cancel := context.WithTimeout(ctx, stepInterval)
	defer cancel()
	select {
	case <-next.Done():
	case <-m.wake:
		// News often comes in bunches; a short wait sends them as one.
		time.Sleep(coalesceDelay)
	}
}

// Joined says whether a peer has answered, or all that could be asked have failed to.
func (m *Membership) Joined() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.joined
}

// Isolated says whether this node doubts a member and could ask nobody about it.
func (m *Membership) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isolated
}

// Leave tells the failure domain that this node takes no new requests.
func (m *Membership) Leave() { m.setOwnState(Leaving) }

// Depart tells the failure domain that this node is gone and waits until the
// members have heard or the context ends.
func (m *Membership) Depart(ctx context.Context) {
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

// writeSelf puts this node into the shared table; the caller holds the lock.
func (m *Membership) writeSelf(version uint64) {
	own := m.own
	m.config.Members.Update(own.ID, func(shown *blackboard.Member) bool {
		fillMember(shown, own, m.config.FailureDomain)
		shown.Heard = time.Now()
		shown.ConfigVersion = version
		return true
	})
}

func fillMember(shown *blackboard.Member, record Record, failureDomain string) {
	shown.FailureDomain = failureDomain
	shown.Address = record.Address
	shown.Incarnation = record.Incarnation
	shown.Weight = record.Weight
	shown.Leaving = record.State == Leaving
	shown.Dead = record.State == Dead
}

func (m *Membership) wakeLoop() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}
