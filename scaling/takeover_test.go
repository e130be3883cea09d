package scaling_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/demand"
	"zinniamast/routes"
	"zinniamast/scaling"
)

// A large fleet in six failure domains. Replicas run 12 requests at once.
const (
	largeFleetDomains = 6
	perDomain         = 20
	replicaSlots      = 12
)

// laterLease is a lease that this node obtains some time after its start.
type laterLease struct {
	held atomic.Bool
}

var errNotHeld = errors.New("lease is not held")

// Check implements scaling.Lease.
func (l *laterLease) Check(time.Duration) (uint64, error) {
	if !l.held.Load() {
		return 0, errNotHeld
	}
	return 2, nil
}

// largeFleet is a fleet of reclaimable replicas that a controller of another node has
// ordered, and the load that each failure domain reports.
type largeFleet struct {
	*fleet
	lease   laterLease
	demand  *demand.Demand
	domains []string
	// rollouts, registerer and log are passed to new controllers.
	rollouts   scaling.Rollouts
	registerer prometheus.Registerer
	log        slog.Handler

	mu sync.Mutex
	// running is the number of running requests in each failure domain.
	running map[string]float64
}

// runLargeFleet runs a test beside a controller that does not hold the lease yet.
func runLargeFleet(t *testing.T, test func(check *is.I, f *largeFleet)) {
	t.Helper()
	runLargeFleetWith(t, func(*largeFleet) {}, test)
}

// runLargeFleetWith is runLargeFleet with a change of the fixture before the controller
// starts.
func runLargeFleetWith(t *testing.T, change func(f *largeFleet), test func(check *is.I, f *largeFleet)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		f := &largeFleet{
			fleet: &fleet{
				board: blackboard.New(),
			},
			running: map[string]float64{},
			log:     slog.DiscardHandler,
		}
		for i := range largeFleetDomains {
			f.domains = append(f.domains, fmt.Sprintf("domain-%d", i))
		}
		f.demand = demand.New(f.domains[0])
		change(f)
		for i := range perDomain * largeFleetDomains {
			f.add(f.domains[i%largeFleetDomains], zinniamast.Reclaimable, time.Now())
		}
		f.listDue()
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		controller := f.newController(&f.lease)
		running.Go(func() { controller.Run(ctx) })
		running.Go(func() { f.runClock(ctx) })
		defer running.Wait()
		defer cancel()
		test(is.New(t), f)
	})
}

func (f *largeFleet) newController(lease scaling.Lease) *scaling.Controller {
	s := service()
	s.Scaling.Min = 1
	s.Scaling.Max = 2 * perDomain
	s.Scaling.BootTime = bootTime
	s.Scaling.Prices = map[string]float64{}
	for _, domain := range f.domains {
		s.Scaling.Prices[domain] = 1
	}
	s.Engine = &routes.Engine{
		Slots: replicaSlots,
	}
	table := &routes.Table{}
	table.Apply(&routes.Config{
		Version: 1,
		Services: map[string]routes.Service{
			"svc": s,
		},
	})
	return scaling.New(scaling.Config{
		Routes:         table,
		Upstreams:      f.board.Upstreams,
		Demand:         f.demand,
		Lease:          lease,
		Duties:         f,
		FailureDomains: f.domains,
		Rollouts:       f.rollouts,
		Registerer:     f.registerer,
		Logger:         slog.New(f.log),
	})
}

// runClock lists started replicas and reports the load of the failure domains.
func (f *largeFleet) runClock(ctx context.Context) {
	for ctx.Err() == nil {
		f.listDue()
		f.mu.Lock()
		for domain, running := range f.running {
			f.demand.ReceiveDomain(domain, demand.DomainLoad{
				Loads: demand.Loads{
					"svc": demand.Load{
						Running:  running,
						Arrivals: 4 * running,
						Sized:    4 * running,
						Work:     running / replicaSlots,
					},
				},
			})
		}
		f.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
}

// setRunning sets the running requests of all failure domains together.
func (f *largeFleet) setRunning(total float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, domain := range f.domains {
		f.running[domain] = total / largeFleetDomains
	}
}

// silence stops the reports of some failure domains.
func (f *largeFleet) silence(domains ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, domain := range domains {
		delete(f.running, domain)
	}
}

// serving returns the number of listed replicas.
func (f *largeFleet) serving() int { return len(f.board.Upstreams.Of("svc")) }

// waitingAt returns the share of requests that find no free slot if a number of them
// run at once.
func (f *largeFleet) waitingAt(running int) float64 {
	return max(0, float64(running-f.serving()*replicaSlots)) / float64(running)
}

// TestTakeoverBeforeCrowdKeepsTheFleet guards against a fleet sized by one moment's need.
func TestTakeoverBeforeCrowdKeepsTheFleet(t *testing.T) {
	runLargeFleet(t, func(check *is.I, f *largeFleet) {
		f.setRunning(150)
		time.Sleep(10 * time.Second)
		f.lease.held.Store(true)
		time.Sleep(time.Second)
		check.Equal(f.serving(), perDomain*largeFleetDomains)
		f.setRunning(1200)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			check.True(f.waitingAt(1200) == 0)
		}
	})
}

// TestTakeoverStopsSurplusReplicas guards against surplus that stays after a takeover.
func TestTakeoverStopsSurplusReplicas(t *testing.T) {
	runLargeFleet(t, func(check *is.I, f *largeFleet) {
		f.setRunning(150)
		time.Sleep(10 * time.Second)
		f.lease.held.Store(true)
		time.Sleep(2*bootTime + 2*time.Second)
		check.True(f.serving() <= 40) // 150 requests fill 13 replicas
	})
}

// TestUnknownLoadStopsNoReplicas guards against unknown load that counts as none.
func TestUnknownLoadStopsNoReplicas(t *testing.T) {
	runLargeFleet(t, func(check *is.I, f *largeFleet) {
		f.lease.held.Store(true)
		f.setRunning(700)
		time.Sleep(20 * time.Second)
		before := f.serving()
		check.True(before >= 100)
		f.silence(f.domains[2], f.domains[3], f.domains[4], f.domains[5])
		for range 20 {
			time.Sleep(time.Second)
			check.True(f.serving() >= before)
			check.True(f.waitingAt(700) == 0)
		}
		f.setRunning(700)
		time.Sleep(20 * time.Second)
		check.True(f.serving() >= 100)
	})
}

// TestLostDomainIsNotWaitedForForever guards against surplus kept for a domain that is gone.
func TestLostDomainIsNotWaitedForForever(t *testing.T) {
	runLargeFleet(t, func(check *is.I, f *largeFleet) {
		f.lease.held.Store(true)
		f.setRunning(150)
		time.Sleep(4 * time.Second)
		f.silence(f.domains[5])
		time.Sleep(50 * time.Second)
		check.True(f.serving() <= 40)
	})
}
