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

// market stands for the platform's: it hears orders and starts or stops replicas.
type market struct {
	board *blackboard.Board

	mu sync.Mutex
	// dry refuses reclaimable replicas.
	dry     bool
	orders  []zinniamast.ScaleOrder
	started int
}

func (m *market) Report(context.Context, uint64, zinniamast.UsageReport) error { return nil }

func (m *market) Scale(_ context.Context, _ uint64, order zinniamast.ScaleOrder) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dry && order.Market == zinniamast.Reclaimable {
		return zinniamast.ErrRefused
	}
	m.orders = append(m.orders, order)
	m.fulfil(order)
	return nil
}

// fulfil starts or stops replicas at once.
func (m *market) fulfil(order zinniamast.ScaleOrder) {
	var there []string
	for _, u := range m.board.Upstreams.Of(order.Service) {
		if u.Instance.FailureDomain == order.FailureDomain && u.Instance.Market == order.Market {
			there = append(there, u.Instance.ID)
		}
	}
	for ; len(there) > order.Count; there = there[1:] {
		m.board.Upstreams.Remove(there[0])
	}
	for more := len(there); more < order.Count; more++ {
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

// ordered is how many orders there were of a market.
func (m *market) ordered(of zinniamast.Market) int {
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

// reclaim takes failure domains' reclaimable replicas and gives no others.
func (m *market) reclaim(failureDomains ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dry = true
	for _, u := range m.board.Upstreams.Of("svc") {
		if slices.Contains(failureDomains, u.Instance.FailureDomain) && u.Instance.Market == zinniamast.Reclaimable {
			m.board.Upstreams.Remove(u.Instance.ID)
		}
	}
}

// wanted is what was ordered last of a market, all failure domains together.
func (m *market) wanted(of zinniamast.Market) int {
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

// holder always holds the lease.
type holder struct{}

func (holder) Check(time.Duration) (uint64, error) { return 1, nil }

// found enters on-demand replicas as the operator had put them there.
func found(board *blackboard.Board, count int) {
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

// bed is a controller before a market, in virtual time.
type bed struct {
	market *market
	demand *demand.Demand
}

// run runs a controller that has just started and knows no replica yet.
func run(t *testing.T, slots int, f func(b *bed)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		board := blackboard.New()
		b := &bed{
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
			Demand:         b.demand,
			Lease:          holder{},
			Duties:         b.market,
			FailureDomains: domains,
			Logger:         slog.New(slog.DiscardHandler),
		})
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { controller.Run(ctx) })
		defer running.Wait()
		defer cancel()
		f(b)
	})
}

// play lets replicas enter themselves a second after the start, and callers come
// nine seconds later for ten; each request takes work from a replica, zero where
// it is not known.
func play(t *testing.T, slots int, perSecond float64, work func(request int) time.Duration, look func(m *market)) {
	t.Helper()
	run(t, slots, func(b *bed) {
		time.Sleep(time.Second)
		found(b.market.board, 9)
		time.Sleep(9 * time.Second)
		for request := range int(10 * perSecond) {
			b.demand.Entered("svc", 1000)
			b.demand.Sent("svc", work(request))
			b.demand.Left("svc")
			time.Sleep(time.Duration(float64(time.Second) / perSecond))
		}
		look(b.market)
	})
}

// always is the same work for each request.
func always(work time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return work }
}

// Callers send long prompts, few at a time, to engines with many slots that read
// slowly: 40 a second of 150 ms keep six replicas busy, though they fill a
// twentieth of their slots. Ordered by slots, four replicas were there and each
// prompt waited behind seconds of others.
func TestLongPromptsAreSizedByTheirWork(t *testing.T) {
	check := is.New(t)
	play(t, 128, 40, always(150*time.Millisecond), func(m *market) {
		check.True(m.wanted(zinniamast.Reclaimable) >= 12)
	})
}

// A calm day: one replica would do for the work. The third of the most that may
// be ordered is not kept for it, and nothing dear.
func TestLittleWorkKeepsFewReplicas(t *testing.T) {
	check := is.New(t)
	play(t, 128, 10, always(50*time.Millisecond), func(m *market) {
		time.Sleep(10 * time.Second)
		check.True(m.wanted(zinniamast.Reclaimable) <= len(domains))
		check.Equal(m.wanted(zinniamast.OnDemand), 0)
	})
}

// The process has just started and the list of replicas comes a second later.
// The least number, ordered before they were seen, would take five of nine away
// from callers who come next. Before anybody asks, as many as were found and a
// spare failure domain are ordered where they are cheap.
func TestFoundReplicasAreNotGivenBackUnseen(t *testing.T) {
	check := is.New(t)
	run(t, 128, func(b *bed) {
		time.Sleep(1200 * time.Millisecond)
		check.Equal(b.market.ordered(zinniamast.OnDemand), 0)
		found(b.market.board, 9)
		time.Sleep(2 * time.Second)
		check.Equal(b.market.wanted(zinniamast.Reclaimable), 12)
	})
}

// One node has learned how fast replicas read, and sized one long prompt of the
// hundred that came. Were it to stand for all of them, 50 replicas would be
// ordered for eight seconds. As many as were found are wanted until more is known.
func TestOneSizedPromptDoesNotStandForAll(t *testing.T) {
	check := is.New(t)
	oneOfHundred := func(request int) time.Duration {
		if request == 99 {
			return 2 * time.Second
		}
		return 0
	}
	play(t, 128, 10, oneOfHundred, func(m *market) {
		time.Sleep(time.Second)
		check.Equal(m.wanted(zinniamast.Reclaimable), 12)
	})
}

// A failure domain's reclaimable replicas are reclaimed and no others are to be
// had. Callers wait for replicas on demand to start; these are ordered in the
// same look in which the market refused, and not half a second later for each
// failure domain that is asked in turn.
func TestRefusalsAreAnsweredInTheSameLook(t *testing.T) {
	check := is.New(t)
	play(t, 128, 40, always(150*time.Millisecond), func(m *market) {
		before := m.wanted(zinniamast.OnDemand)
		check.Equal(before, 0)
		m.reclaim(domains[0], domains[1])
		time.Sleep(600 * time.Millisecond)
		check.True(m.wanted(zinniamast.OnDemand) >= 4)
	})
}
