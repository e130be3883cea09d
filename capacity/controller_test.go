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

// fakeEngine is a replica that takes two minutes to load a model and whose reports
// lag. It ignores fencing numbers.
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

// orderCount returns the number of orders received.
func (e *fakeEngine) orderCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders)
}

// setRunning sets the number of running requests.
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

// cluster is a simulated platform with engines and nodes that run a controller.
type cluster struct {
	platform *platform.Platform
	mu       sync.Mutex
	engines  map[string]*fakeEngine
	units    float64
	models   []string
	// complete is false while the figures of a part of the fleet are missing.
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

// leavingCounts returns how many instances were announced as leaving, and how many of
// them are still live.
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

// readyUnits returns the units of the instances that serve and are not leaving.
func (s *cluster) readyUnits() (units float64) {
	for _, instance := range s.platform.Cloud.Live() {
		if models := s.engine(instance.ID).report().Models; len(models) > 0 && !s.isLeaving(instance.ID) {
			units += unitsOf(instance.Class)
		}
	}
	return units
}

// startNode starts a node with a lease and a controller; cloud may wrap the platform's
// cloud.
func (s *cluster) startNode(name string, cloud zinniamast.Cloud, table zinniamast.Table) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	logger := slog.New(slog.DiscardHandler)
	l := lease.New(lease.Config{
		Table:  table,
		Name:   "capacity",
		Holder: name,
		Logger: logger,
	})
	controller := capacity.New(capacity.Config{
		Lease:           l,
		Table:           table,
		Cloud:           cloud,
		List:            s.platform.Cloud,
		Weights:         s.platform.Weights,
		Demands:         s.demands,
		Classes:         func() []capacity.Class { return classes },
		Engine:          func(instance zinniamast.Instance) zinniamast.Engine { return s.engine(instance.ID) },
		Report:          func(id string) (zinniamast.LoadReport, bool) { return s.engine(id).report(), true },
		AnnounceLeaving: s.announceLeaving,
		Rules:           capacity.Rules{MaxLoading: 20},
		Logger:          logger,
	})
	s.running.Go(func() { l.Run(ctx) })
	s.running.Go(func() { controller.Run(ctx) })
	return cancel
}

// Guards against capacity loss when a failure domain's reclaimable instances get
// notice and are reclaimed five minutes later. The controller must act on the
// notice, although the list shows the old instances as live for another 20 s, so
// that the replacements have loaded by then.
func TestReplacesInstancesOnReclaimNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(platform.Config{})
		stop := s.startNode("one", s.platform.Cloud, s.platform.Table)
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
		t.Logf("starts %d, after six hours of constant demand %d", starts, s.platform.Counts().Starts)
		is.True(s.platform.Counts().Starts <= starts+2)
		stop()
		s.running.Wait()
	})
}

// answerLosingCloud carries out starts but loses every answer, so that the holder
// crashes without knowing of its purchases.
type answerLosingCloud struct {
	zinniamast.Cloud
}

func (d answerLosingCloud) Start(ctx context.Context, token string, offer zinniamast.Offer, role string) (zinniamast.Instance, error) {
	_, _ = d.Cloud.Start(ctx, token, offer, role)
	return zinniamast.Instance{}, errors.New("answer lost")
}

// Guards against buying instances twice: every answer to the holder's purchases is
// lost, and the holder crashes. The next holder must read the intents, retry with
// the same tokens and get the same instances.
func TestNextHolderFinishesPurchases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(platform.Config{})
		stop := s.startNode("one", answerLosingCloud{s.platform.Cloud}, s.platform.Table)
		time.Sleep(30 * time.Second)
		purchased := s.platform.Counts().Starts
		is.True(purchased > 0)
		stop()
		stopNext := s.startNode("two", s.platform.Cloud, s.platform.Table)
		time.Sleep(10 * time.Minute)
		is.Equal(s.platform.Counts().Starts, purchased)
		is.True(s.readyUnits() >= 4000)
		stopNext()
		s.running.Wait()
	})
}

// Guards against overloading the weight store, which permits one load in five
// seconds, while a whole fleet starts. Load orders must keep to its rate, and each
// replica must get one order only.
func TestLoadsFollowWeightStoreRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(platform.Config{PermitsASecond: 0.2})
		stop := s.startNode("one", s.platform.Cloud, s.platform.Table)
		started, last := time.Now(), 0
		for range 60 {
			time.Sleep(5 * time.Second)
			orders := 0
			for _, instance := range s.platform.Cloud.Live() {
				orders += s.engine(instance.ID).orderCount()
			}
			is.True(orders-last <= 2)
			last = orders
		}
		is.True(time.Since(started) >= 5*time.Minute)
		is.Equal(last, int(s.platform.Counts().Starts))
		stop()
		s.running.Wait()
	})
}

// Guards against lost capacity while the cloud refuses starts in the cheapest
// failure domains. The other domains must carry the load within minutes.
func TestRefusedStartsUseOtherFailureDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(platform.Config{})
		is.NoErr(s.platform.SetFault(platform.ServiceCloud, platform.Fault{RefuseStarts: []string{"a", "b"}}))
		stop := s.startNode("one", s.platform.Cloud, s.platform.Table)
		time.Sleep(10 * time.Minute)
		is.True(s.readyUnits() >= 4000)
		for _, instance := range s.platform.Cloud.Live() {
			is.True(instance.FailureDomain == "c" || instance.FailureDomain == "d")
		}
		stop()
		s.running.Wait()
	})
}

// Guards against cutting off a running request when demand falls: a surplus replica
// that is still generating must be announced as leaving, and returned only after the
// request is done.
func TestReturnsOnlyIdleInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(platform.Config{})
		stop := s.startNode("one", s.platform.Cloud, s.platform.Table)
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
		stop()
		s.running.Wait()
	})
}

// Guards against the delayed order of a former holder that was paused while sending
// it. Another node took over and moved the fleet to a new version; then the old
// order reaches an engine that ignores fencing numbers and unloads the new version.
// The new holder must see this in the report and correct it, and the replica must
// not flap afterwards.
func TestLateOrderIsCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(platform.Config{})
		stop := s.startNode("two", s.platform.Cloud, s.platform.Table)
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
		started := time.Now()
		for fmt.Sprint(s.engine(victim).report().Models) != "[draft-2]" && time.Since(started) < time.Hour {
			time.Sleep(time.Second)
		}
		t.Logf("delayed order corrected after %v", time.Since(started))
		is.True(time.Since(started) < 10*time.Minute)
		time.Sleep(time.Minute)
		orders := s.engine(victim).orderCount()
		time.Sleep(2 * time.Hour)
		is.Equal(s.engine(victim).orderCount(), orders)
		stop()
		s.running.Wait()
	})
}
