package limits_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast/limits"
	"zinniamast/routes"
)

// A large fleet of small instances that all start at the same moment, and the
// requests that arrive from then on.
const (
	startingNodes         = 195
	startingDomains       = 6
	startingOrganisations = 19
	// startSpread is the time between the starts of the first and the last node.
	startSpread = 150 * time.Millisecond
	// handshakeTime is the processor time of a new connection at its server, one
	// after another, on a small instance; callTime is that of a call.
	handshakeTime = 2 * time.Millisecond
	callTime      = 100 * time.Microsecond
	// redialDelay is the time after a refused connection in which calls fail at once.
	redialDelay       = 100 * time.Millisecond
	arrivalsPerSecond = 700
	meanTokens        = 3600
	// allowanceFactor is the ratio of the allowances to their usual use.
	allowanceFactor = 1.8
)

// startingFleet is the fleet and the network between its nodes.
type startingFleet struct {
	holders       []limits.Holder
	organisations []routes.Organisation
	nodes         []*startingNode
}

// startingNode is a node and what its connections cost.
type startingNode struct {
	allowance  *limits.Allowance
	fleetPool  *limits.Pool
	domainPool *limits.Pool
	startsAt   time.Time
	// processor holds a token while the processor is free.
	processor chan struct{}

	mu    sync.Mutex
	links map[string]*startingLink
}

// startingLink is a node's connection to another.
type startingLink struct {
	connected chan struct{}
	dialling  bool
	retryAt   time.Time
}

var errRefused = errors.New("connection refused")

func newStartingFleet() *startingFleet {
	f := &startingFleet{}
	for i := range startingNodes {
		f.holders = append(f.holders, limits.Holder{
			ID:            fmt.Sprintf("node-%d", i),
			FailureDomain: fmt.Sprintf("domain-%d", i%startingDomains),
			Address:       fmt.Sprint(i),
		})
	}
	for i := range startingOrganisations {
		rate := allowanceFactor * arrivalsPerSecond * meanTokens * f.share(i)
		f.organisations = append(f.organisations, routes.Organisation{
			Name:     fmt.Sprintf("organisation-%d", i),
			ByTokens: true,
			Rate:     rate,
			Burst:    rate,
		})
	}
	for i := range startingNodes {
		f.nodes = append(f.nodes, f.newNode(i))
	}
	return f
}

// share returns an organisation's share of the requests; a few are large.
func (f *startingFleet) share(organisation int) float64 {
	if organisation < 3 {
		return 0.2
	}
	return 0.4 / (startingOrganisations - 3)
}

func (f *startingFleet) newNode(i int) *startingNode {
	pool := limits.PoolConfig{
		Organisation: f.organisation,
		Tolerance: limits.Tolerance{
			Window:  8 * time.Second,
			Overage: 0.1,
			Slack:   140_000,
		},
	}
	n := &startingNode{
		fleetPool: limits.NewPool(pool),
		startsAt:  time.Now().Add(startSpread * time.Duration(i) / startingNodes),
		processor: make(chan struct{}, 1),
		links:     map[string]*startingLink{},
	}
	n.processor <- struct{}{}
	pool.IsDomainPool = true
	n.domainPool = limits.NewPool(pool)
	n.allowance = limits.NewAllowance(limits.AllowanceConfig{
		Node:          f.holders[i].ID,
		FailureDomain: f.holders[i].FailureDomain,
		Holders:       func() []limits.Holder { return f.holders },
		Take: func(ctx context.Context, address string, ask limits.PoolRequest) (answer limits.PoolAnswer, err error) {
			err = f.call(ctx, n, address, func(server *startingNode) {
				answer = server.pool(ask.Apart).Take(ask)
			})
			return answer, err
		},
		Renew: func(ctx context.Context, address string, renewal limits.PoolRenewal) (limits.PoolRenewalAnswer, error) {
			var answer limits.PoolRenewalAnswer
			err := f.call(ctx, n, address, func(server *startingNode) {
				answer = server.pool(renewal.Apart).RenewAll(renewal)
			})
			return answer, err
		},
		NotSent:       func(err error) bool { return errors.Is(err, errRefused) },
		Organisations: func() []routes.Organisation { return f.organisations },
		FleetPool:     n.fleetPool,
		DomainPool:    n.domainPool,
		Logger:        slog.New(slog.DiscardHandler),
	})
	return n
}

func (f *startingFleet) organisation(name string) *routes.Organisation {
	for i := range f.organisations {
		if f.organisations[i].Name == name {
			return &f.organisations[i]
		}
	}
	return nil
}

func (n *startingNode) pool(domainPool bool) *limits.Pool {
	if domainPool {
		return n.domainPool
	}
	return n.fleetPool
}

// work takes processor time, one piece after another.
func (n *startingNode) work(processor time.Duration) {
	<-n.processor
	time.Sleep(processor)
	n.processor <- struct{}{}
}

// call calls another node over this node's connection to it. A connection is
// established even if the call that needs it has ended.
func (f *startingFleet) call(ctx context.Context, from *startingNode, address string, serve func(*startingNode)) error {
	var index int
	_, _ = fmt.Sscan(address, &index)
	server := f.nodes[index]
	from.mu.Lock()
	l, ok := from.links[address]
	if !ok {
		l = &startingLink{
			connected: make(chan struct{}),
		}
		from.links[address] = l
	}
	now := time.Now()
	if !l.dialling {
		if now.Before(server.startsAt) {
			if now.After(l.retryAt) {
				l.retryAt = now.Add(redialDelay)
			}
			from.mu.Unlock()
			return errRefused
		}
		if now.Before(l.retryAt) {
			from.mu.Unlock()
			return errRefused
		}
		l.dialling = true
		go func() {
			server.work(handshakeTime)
			close(l.connected)
		}()
	}
	from.mu.Unlock()
	select {
	case <-l.connected:
	case <-ctx.Done():
		return ctx.Err()
	}
	server.work(callTime)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	serve(server)
	return nil
}

// startOutcome counts the requests that arrived in one half second.
type startOutcome struct {
	asked, refused int
	// late counts those that waited for their allowance for longer than maxAllowanceDelay.
	late int
}

// maxAllowanceDelay is the part of a response time target of 600 ms that an allowance
// may take.
const maxAllowanceDelay = 300 * time.Millisecond

// run starts all nodes and sends requests for some seconds.
func (f *startingFleet) run(t *testing.T, seconds int) []startOutcome {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	began := time.Now()
	for _, n := range f.nodes {
		running.Go(func() {
			time.Sleep(time.Until(n.startsAt))
			n.allowance.Run(ctx)
		})
	}
	outcomes := make([]startOutcome, 2*seconds)
	var mu sync.Mutex
	var requests sync.WaitGroup
	random := rand.New(rand.NewPCG(1, 2))
	for time.Since(began) < time.Duration(seconds)*time.Second {
		n := f.nodes[random.IntN(len(f.nodes))]
		o := f.draw(random)
		amount := tokensOf(random)
		at := time.Now()
		if !at.Before(n.startsAt) {
			requests.Go(func() {
				_, granted := n.allowance.Take(ctx, o, amount, 0)
				mu.Lock()
				defer mu.Unlock()
				outcome := &outcomes[at.Sub(began)/(500*time.Millisecond)]
				outcome.asked++
				if !granted {
					outcome.refused++
				}
				if time.Since(at) > maxAllowanceDelay {
					outcome.late++
				}
			})
		}
		time.Sleep(time.Second / arrivalsPerSecond)
	}
	requests.Wait()
	cancel()
	running.Wait()
	return outcomes
}

// draw returns the organisation of a request.
func (f *startingFleet) draw(random *rand.Rand) *routes.Organisation {
	at := random.Float64()
	for i := range f.organisations {
		if at -= f.share(i); at < 0 {
			return &f.organisations[i]
		}
	}
	return &f.organisations[0]
}

// tokensOf returns the tokens of a request: a fifth are long.
func tokensOf(random *rand.Rand) float64 {
	if random.IntN(5) == 0 {
		return 12_000
	}
	return 1_500
}

// TestMassStartRefusesNoAllowances guards against refusals within allowances after a loss of power.
func TestMassStartRefusesNoAllowances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		outcomes := newStartingFleet().run(t, 4)
		asked, lost := 0, 0
		for i, o := range outcomes {
			t.Logf("from %v: %d asked, %d refused, %d waited for long", time.Duration(i)*500*time.Millisecond, o.asked, o.refused, o.late)
			asked += o.asked
			lost += o.refused + o.late
		}
		check.True(float64(lost) <= 0.02*float64(asked))
	})
}
