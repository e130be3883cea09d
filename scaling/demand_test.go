package scaling_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/demand"
	"zinniamast/routes"
	"zinniamast/scaling"
)

// market simulates the platform's market: it receives orders and starts or stops
// replicas.
type market struct {
	board *blackboard.Board

	mu sync.Mutex
	// reclaimableUnavailable makes it refuse orders for reclaimable replicas.
	reclaimableUnavailable bool
	orders                 []zinniamast.ScaleOrder
	started                int
}

func (m *market) Report(context.Context, uint64, zinniamast.UsageReport) error { return nil }

func (m *market) Scale(_ context.Context, _ uint64, order zinniamast.ScaleOrder) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reclaimableUnavailable && order.Market == zinniamast.Reclaimable {
		return zinniamast.ErrRefused
	}
	m.orders = append(m.orders, order)
	m.fulfil(order)
	return nil
}

// fulfil starts or stops replicas at once.
func (m *market) fulfil(order zinniamast.ScaleOrder) {
	var present []string
	for _, u := range m.board.Upstreams.Of(order.Service) {
		if u.Instance.FailureDomain == order.FailureDomain && u.Instance.Market == order.Market {
			present = append(present, u.Instance.ID)
		}
	}
	for ; len(present) > order.Count; present = present[1:] {
		m.board.Upstreams.Remove(present[0])
	}
	for more := len(present); more < order.Count; more++ {
		m.started++
		m.board.Upstreams.Add(&blackboard.Upstream{
			Instance: zinniamast.Instance{
				ID:            fmt.Sprintf("ordered-%d", m.started),
				Service:       order.Service,
				FailureDomain: order.FailureDomain,
				Market:        order.Market,
			},
		})
	}
}

// orderCount returns the number of orders for a market.
func (m *market) orderCount(of zinniamast.Market) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, order := range m.orders {
		if order.Market == of {
			count++
		}
	}
	return count
}

// reclaim stops the reclaimable replicas of failure domains and makes the market
// refuse others.
func (m *market) reclaim(failureDomains ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reclaimableUnavailable = true
	for _, u := range m.board.Upstreams.Of("svc") {
		if slices.Contains(failureDomains, u.Instance.FailureDomain) && u.Instance.Market == zinniamast.Reclaimable {
			m.board.Upstreams.Remove(u.Instance.ID)
		}
	}
}

// lastOrdered returns how many replicas of a market were ordered last, over all
// failure domains.
func (m *market) lastOrdered(of zinniamast.Market) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := map[string]int{}
	for _, order := range m.orders {
		if order.Market == of {
			last[order.FailureDomain] = order.Count
		}
	}
	sum := 0
	for _, count := range last {
		sum += count
	}
	return sum
}

// leaseHolder is a Lease that is always held.
type leaseHolder struct{}

func (leaseHolder) Check(time.Duration) (uint64, error) { return 1, nil }

// addOnDemand lists on-demand replicas that the controller did not order.
func addOnDemand(board *blackboard.Board, count int) {
	for i := range count {
		board.Upstreams.Add(&blackboard.Upstream{
			Instance: zinniamast.Instance{
				ID:            string(rune('a' + i)),
				Service:       "svc",
				FailureDomain: domains[i%len(domains)],
				Market:        zinniamast.OnDemand,
			},
		})
	}
}

// fixture is what a controller under test orders from and measures, in virtual
// time.
type fixture struct {
	market *market
	demand *demand.Demand
}

// runController runs a test beside a controller that has just started and knows
// no replica yet.
func runController(t *testing.T, slots int, test func(fx *fixture)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		board := blackboard.New()
		fx := &fixture{
			market: &market{
				board: board,
			},
			demand: demand.New("a"),
		}
		s := service()
		s.Scaling.BootTime = 4 * time.Second
		s.Engine = &routes.Engine{
			Slots: slots,
		}
		table := &routes.Table{}
		table.Apply(&routes.Config{
			Version: 1,
			Services: map[string]routes.Service{
				"svc": s,
			},
		})
		controller := scaling.New(scaling.Config{
			Routes:         table,
			Upstreams:      board.Upstreams,
			Demand:         fx.demand,
			Lease:          leaseHolder{},
			Duties:         fx.market,
			FailureDomains: domains,
			Logger:         slog.New(slog.DiscardHandler),
		})
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { controller.Run(ctx) })
		defer running.Wait()
		defer cancel()
		test(fx)
	})
}

// runWithRequests lists nine replicas a second after the start and sends requests
// for ten seconds, beginning nine seconds later. Each request takes work from a
// replica; zero means that the work is unknown.
func runWithRequests(t *testing.T, slots int, perSecond float64, work func(request int) time.Duration, verify func(m *market)) {
	t.Helper()
	runController(t, slots, func(fx *fixture) {
		time.Sleep(time.Second)
		addOnDemand(fx.market.board, 9)
		time.Sleep(9 * time.Second)
		for request := range int(10 * perSecond) {
			fx.demand.RequestStarted("svc", 1000)
			fx.demand.AddWork("svc", work(request))
			fx.demand.RequestEnded("svc")
			time.Sleep(time.Duration(float64(time.Second) / perSecond))
		}
		verify(fx.market)
	})
}

// constantWork returns the same work for each request.
func constantWork(work time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return work }
}

// Long prompts, few at a time, go to engines with many slots and slow prefill: 40
// a second of 150 ms keep six replicas busy, though they fill a twentieth of
// their slots. Sized by slots, four replicas would be ordered, and each prompt
// would wait several seconds for others.
func TestLongPromptsAreSizedByTheirWork(t *testing.T) {
	check := is.New(t)
	runWithRequests(t, 128, 40, constantWork(150*time.Millisecond), func(m *market) {
		check.True(m.lastOrdered(zinniamast.Reclaimable) >= 12)
	})
}

// At low load one replica would suffice for the work. Neither a third of the
// maximum nor any on-demand replica may be kept for it.
func TestLittleWorkKeepsFewReplicas(t *testing.T) {
	check := is.New(t)
	runWithRequests(t, 128, 10, constantWork(50*time.Millisecond), func(m *market) {
		time.Sleep(10 * time.Second)
		check.True(m.lastOrdered(zinniamast.Reclaimable) <= len(domains))
		check.Equal(m.lastOrdered(zinniamast.OnDemand), 0)
	})
}

// The list of replicas arrives a second after the process started. The minimum
// number, ordered before they are listed, would stop five of nine replicas before
// the first requests. Before any requests arrive, the initial number and a spare
// failure domain are ordered where they are cheap.
func TestInitialReplicasAreKeptUntilListed(t *testing.T) {
	check := is.New(t)
	runController(t, 128, func(fx *fixture) {
		time.Sleep(1200 * time.Millisecond)
		check.Equal(fx.market.orderCount(zinniamast.OnDemand), 0)
		addOnDemand(fx.market.board, 9)
		time.Sleep(2 * time.Second)
		check.Equal(fx.market.lastOrdered(zinniamast.Reclaimable), 12)
	})
}

// One node has measured the prefill speed of the replicas and knows the work of
// one long prompt out of a hundred. If that prompt represented all of them, 50
// replicas would be ordered for eight seconds. The initial number stays desired
// until more is known.
func TestOneSizedPromptIsNotExtrapolated(t *testing.T) {
	check := is.New(t)
	oneOfHundred := func(request int) time.Duration {
		if request == 99 {
			return 2 * time.Second
		}
		return 0
	}
	runWithRequests(t, 128, 10, oneOfHundred, func(m *market) {
		time.Sleep(time.Second)
		check.Equal(m.lastOrdered(zinniamast.Reclaimable), 12)
	})
}

// A failure domain's reclaimable replicas are reclaimed and no others are
// available, so requests wait for on-demand replicas to start. These must be
// ordered in the round in which the market refused, not half a second later for
// each failure domain that is tried in turn.
func TestRefusalsAreReplannedInTheSameRound(t *testing.T) {
	check := is.New(t)
	runWithRequests(t, 128, 40, constantWork(150*time.Millisecond), func(m *market) {
		before := m.lastOrdered(zinniamast.OnDemand)
		check.Equal(before, 0)
		m.reclaim(domains[0], domains[1])
		time.Sleep(600 * time.Millisecond)
		check.True(m.lastOrdered(zinniamast.OnDemand) >= 4)
	})
}
