package capacity_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/capacity"
	"zinniamast/lease"
	"zinniamast/standin/platform"
)

// fakeEngine is a replica that takes two minutes to load a model and reports late.
// It ignores fencing numbers.
type fakeEngine struct {
	zinniamast.Engine

	mu      sync.Mutex
	models  map[string]time.Time
	running int
	orders  []zinniamast.Order
}

const reportLag = 5 * time.Second

func (e *fakeEngine) Order(ctx context.Context, order zinniamast.Order) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, order)
	if order.Action == "unload" {
		delete(e.models, order.Model)
	} else if _, ok := e.models[order.Model]; !ok {
		e.models[order.Model] = time.Now().Add(loadTime)
	}
	return nil
}

// orderCount returns how many orders came.
func (e *fakeEngine) orderCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders)
}

// setRunning sets how many requests run.
func (e *fakeEngine) setRunning(running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = running
}

func (e *fakeEngine) report() zinniamast.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := zinniamast.LoadReport{
		At:      time.Now().Add(-reportLag),
		Running: e.running,
	}
	for model, at := range e.models {
		if !r.At.Before(at) {
			r.Models = append(r.Models, model)
		}
	}
	return r
}

// cluster is a platform with engines and some nodes that run a controller.
type cluster struct {
	platform *platform.Platform
	mu       sync.Mutex
	engines  map[string]*fakeEngine
	units    float64
	models   []string
	// complete is false while a part of the fleet is not heard.
	complete  bool
	announced map[string]bool
	running   sync.WaitGroup
}

func newCluster(c platform.Config) *cluster {
	s := &cluster{
		engines:   map[string]*fakeEngine{},
		units:     3000,
		models:    []string{"draft"},
		complete:  true,
		announced: map[string]bool{},
	}
	for i, domain := range []string{"a", "b", "c", "d"} {
		for n, market := range []zinniamast.Market{zinniamast.OnDemand, zinniamast.Reclaimable} {
			c.Offers = append(c.Offers, zinniamast.Offer{
				FailureDomain: domain,
				Class:         "small",
				Market:        market,
				Price:         (1 + 0.1*float64(i)) / float64(1+2*n),
			})
		}
	}
	c.ListLag = 20 * time.Second
	c.OnStart = func(instance *zinniamast.Instance) { s.engine(instance.ID) }
	s.platform = platform.New(c)
	return s
}

func (s *cluster) engine(id string) *fakeEngine {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engines[id] == nil {
		s.engines[id] = &fakeEngine{models: map[string]time.Time{}}
	}
	return s.engines[id]
}

func (s *cluster) demands() ([]capacity.Demand, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return []capacity.Demand{{
		Service:     "draft",
		Role:        "engine",
		Units:       s.units,
		Reclaimable: 0.67,
		Models:      s.models,
	}}, s.complete
}

func (s *cluster) announceLeaving(id string, _ time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announced[id] = true
}

// leavingCounts returns how many instances were announced as leaving, and how many of them still live.
func (s *cluster) leavingCounts() (announced, live int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, instance := range s.platform.Cloud.Live() {
		if s.announced[instance.ID] {
			live++
		}
	}
	return len(s.announced), live
}

func (s *cluster) isLeaving(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announced[id]
}

// readyUnits counts the units that serve, without those that left.
func (s *cluster) readyUnits() (units float64) {
	for _, instance := range s.platform.Cloud.Live() {
		if models := s.engine(instance.ID).report().Models; len(models) > 0 && !s.isLeaving(instance.ID) {
			units += unitsOf(instance.Class)
		}
	}
	return units
}

// startNode starts a node with lease and controller; cloud may stand before the platform's.
func (s *cluster) startNode(name string, cloud zinniamast.Cloud, table zinniamast.Table) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	quiet := slog.New(slog.DiscardHandler)
	l := lease.New(lease.Config{
		Table:  table,
		Name:   "capacity",
		Holder: name,
		Logger: quiet,
	})
	controller := capacity.New(capacity.Config{
		Lease:   l,
		Table:   table,
		Cloud:   cloud,
		List:    s.platform.Cloud,
		Weights: s.platform.Weights,
		Demands: s.demands,
		Classes: func() []capacity.Class { return classes },
		Engine:  func(instance zinniamast.Instance) zinniamast.Engine { return s.engine(instance.ID) },
		Report:  func(id string) (zinniamast.LoadReport, bool) { return s.engine(id).report(), true },
		Leave:   s.announceLeaving,
		Rules:   capacity.Rules{MaxLoading: 20},
		Logger:  quiet,
	})
	s.running.Go(func() { l.Run(ctx) })
	s.running.Go(func() { controller.Run(ctx) })
	return cancel
}

// A failure domain's reclaimable instances get notice five minutes ahead and
// go. Replacements must have loaded by then: the controller acts on the notice
// although the list shows the old instances live for another 20 s.
func TestReplacesInstancesOnReclaimNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(platform.Config{})
		end := s.startNode("one", s.platform.Cloud, s.platform.Table)
		time.Sleep(10 * time.Minute)
		is.True(s.readyUnits() >= 4000)
		before := s.platform.Counts().Starts
		domain := ""
		for _, instance := range s.platform.Cloud.Live() {
			if instance.Market == zinniamast.Reclaimable {
				domain = instance.FailureDomain
			}
		}
		s.platform.Cloud.ReclaimDomain(domain, 5*time.Minute)
		time.Sleep(10 * time.Second)
		is.True(s.platform.Counts().Starts > before)
		for range 600 {
			time.Sleep(time.Second)
			is.True(s.readyUnits() >= 4000)
		}
		starts := s.platform.Counts().Starts
		time.Sleep(6 * time.Hour)
		t.Logf("starts %d, after six quiet hours %d", starts, s.platform.Counts().Starts)
		is.True(s.platform.Counts().Starts <= starts+2)
		end()
		s.running.Wait()
	})
}

// answerLosingCloud carries starts out and loses every answer until it is revived; the
// holder dies believing nothing was bought.
type answerLosingCloud struct {
	zinniamast.Cloud
}

func (d answerLosingCloud) Start(ctx context.Context, token string, offer zinniamast.Offer, role string) (zinniamast.Instance, error) {
	_, _ = d.Cloud.Start(ctx, token, offer, role)
	return zinniamast.Instance{}, errors.New("answer lost")
}

// The holder buys, every answer is lost, and it crashes. The next holder finds
// the intents, asks again under the same tokens and gets the same instances:
// nothing is paid twice.
func TestNextHolderFinishesPurchases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(platform.Config{})
		end := s.startNode("one", answerLosingCloud{s.platform.Cloud}, s.platform.Table)
		time.Sleep(30 * time.Second)
		bought := s.platform.Counts().Starts
		is.True(bought > 0)
		end()
		endNext := s.startNode("two", s.platform.Cloud, s.platform.Table)
		time.Sleep(10 * time.Minute)
		is.Equal(s.platform.Counts().Starts, bought)
		is.True(s.readyUnits() >= 4000)
		endNext()
		s.running.Wait()
	})
}

// The weight store permits one load in five seconds while a whole fleet
// starts. Loads are spread over its rate and each replica is ordered once.
func TestLoadsFollowWeightStoreRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(platform.Config{PermitsASecond: 0.2})
		end := s.startNode("one", s.platform.Cloud, s.platform.Table)
		began, last := time.Now(), 0
		for range 60 {
			time.Sleep(5 * time.Second)
			orders := 0
			for _, instance := range s.platform.Cloud.Live() {
				orders += s.engine(instance.ID).orderCount()
			}
			is.True(orders-last <= 2)
			last = orders
		}
		is.True(time.Since(began) >= 5*time.Minute)
		is.Equal(last, int(s.platform.Counts().Starts))
		end()
		s.running.Wait()
	})
}

// Starts are refused in the cheapest domains for an hour. The load is carried
// from elsewhere within minutes, and refused offers are asked for seldom.
func TestRefusedStartsUseOtherFailureDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(platform.Config{})
		is.NoErr(s.platform.SetFault(platform.ServiceCloud, platform.Fault{RefuseStarts: []string{"a", "b"}}))
		end := s.startNode("one", s.platform.Cloud, s.platform.Table)
		time.Sleep(10 * time.Minute)
		is.True(s.readyUnits() >= 4000)
		for _, instance := range s.platform.Cloud.Live() {
			is.True(instance.FailureDomain == "c" || instance.FailureDomain == "d")
		}
		end()
		s.running.Wait()
	})
}

// Demand falls, and a replica in surplus still writes a long answer. It is
// announced as leaving and returned only when the answer is done.
func TestReturnsOnlyIdleInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(platform.Config{})
		end := s.startNode("one", s.platform.Cloud, s.platform.Table)
		time.Sleep(time.Hour)
		full := s.platform.Cloud.Live()
		for _, instance := range full {
			s.engine(instance.ID).setRunning(1)
		}
		s.mu.Lock()
		s.units = 1000
		s.mu.Unlock()
		time.Sleep(time.Hour)
		announced, live := s.leavingCounts()
		is.True(announced > 0)
		is.Equal(live, announced)
		for _, instance := range full {
			s.engine(instance.ID).setRunning(0)
		}
		time.Sleep(time.Minute)
		_, live = s.leavingCounts()
		is.Equal(live, 0)
		is.True(len(s.platform.Cloud.Live()) >= len(full)-announced)
		is.True(s.readyUnits() >= 1000)
		end()
		s.running.Wait()
	})
}

// A former holder was paused in the middle of an order, another took over and
// moved the fleet to a new version; then the old order arrives at engines that
// ignore fencing numbers and unloads the new version. The new holder sees it
// in the report and orders it right, and no replica flaps after that.
func TestLateOrderIsCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(platform.Config{})
		end := s.startNode("two", s.platform.Cloud, s.platform.Table)
		time.Sleep(20 * time.Minute)
		s.mu.Lock()
		s.models = []string{"draft-2"}
		s.mu.Unlock()
		time.Sleep(20 * time.Minute)
		victim := s.platform.Cloud.Live()[0].ID
		is.Equal(fmt.Sprint(s.engine(victim).report().Models), "[draft-2]")
		is.NoErr(s.engine(victim).Order(context.Background(), zinniamast.Order{
			Action: "unload",
			Model:  "draft-2",
			Fence:  0,
		}))
		is.NoErr(s.engine(victim).Order(context.Background(), zinniamast.Order{
			Action: "load",
			Model:  "draft",
			Fence:  0,
		}))
		began := time.Now()
		for fmt.Sprint(s.engine(victim).report().Models) != "[draft-2]" && time.Since(began) < time.Hour {
			time.Sleep(time.Second)
		}
		t.Logf("a late order was undone after %v", time.Since(began))
		is.True(time.Since(began) < 10*time.Minute)
		time.Sleep(time.Minute)
		orders := s.engine(victim).orderCount()
		time.Sleep(2 * time.Hour)
		is.Equal(s.engine(victim).orderCount(), orders)
		end()
		s.running.Wait()
	})
}
