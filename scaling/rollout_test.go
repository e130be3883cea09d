package scaling_test

import (
	"context"
	"fmt"
	"log/slog"
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

// orderLog collects orders; it implements zinniamast.Duties and scaling.Lease.
type orderLog struct {
	mu     sync.Mutex
	orders []zinniamast.ScaleOrder
}

func (*orderLog) Report(context.Context, uint64, zinniamast.UsageReport) error { return nil }

func (*orderLog) Check(time.Duration) (uint64, error) { return 1, nil }

func (l *orderLog) Scale(_ context.Context, _ uint64, order zinniamast.ScaleOrder) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders = append(l.orders, order)
	return nil
}

// movingService is a service that is moved from one version to another.
type movingService struct{}

func (movingService) IsMoving(string) (bool, func(string) bool) {
	return true, func(version string) bool { return version == "v1" }
}

// Guards against a rollout whose replicas of both versions count as one fleet that is twice too large.
func TestRolloutTakesNoReplicasAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		board := blackboard.New()
		for i := range 24 {
			board.Upstreams.Add(&blackboard.Upstream{
				Instance: zinniamast.Instance{
					ID:            fmt.Sprint("i-", i),
					Service:       "svc",
					FailureDomain: "here",
					Version:       []string{"v1", "v2"}[i%2],
					Market:        zinniamast.OnDemand,
				},
				Slots: 4,
			})
		}
		table := &routes.Table{}
		table.Apply(&routes.Config{
			Version: 1,
			Services: map[string]routes.Service{
				"svc": {
					Name: "svc",
					Engine: &routes.Engine{
						Slots: 4,
					},
					Scaling: &routes.Scaling{
						Min:      1,
						Max:      30,
						BootTime: bootTime,
						Prices: map[string]float64{
							"here": 1,
						},
					},
				},
			},
		})
		log := &orderLog{}
		controller := scaling.New(scaling.Config{
			Routes:         table,
			Upstreams:      board.Upstreams,
			Demand:         demand.New("here"),
			Lease:          log,
			Duties:         log,
			FailureDomains: []string{"here"},
			Rollouts:       movingService{},
			Logger:         slog.New(slog.DiscardHandler),
		})
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		controller.Run(ctx)
		log.mu.Lock()
		defer log.mu.Unlock()
		for _, order := range log.orders {
			check.True(order.Count >= 12) // the replicas that carry the load
		}
	})
}
