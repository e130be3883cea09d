package capacity_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/capacity"
)

// countingEngine is an engine that counts who asks it for its load.
type countingEngine struct {
	zinniamast.Engine
	totalPolls *atomic.Int64
	polls      atomic.Int64
}

func (r *countingEngine) Load(context.Context) (zinniamast.LoadReport, error) {
	r.totalPolls.Add(1)
	r.polls.Add(1)
	return zinniamast.LoadReport{
		At:     time.Now(),
		Models: []string{"draft"},
	}, nil
}

// The holder looks at every instance in each round. Asked every 15 s, 5,700
// engines would cost it 380 questions a second for good. It must hear of all
// soon after it takes over, then ask the settled ones seldom, and still see
// within seconds what leaves and what was given an order.
func TestSettledEnginesArePolledSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		const count = 5700
		var asked atomic.Int64
		board := blackboard.NewUpstreams()
		engines := make([]*countingEngine, count)
		var all []*blackboard.Upstream
		for i := range engines {
			engines[i] = &countingEngine{
				totalPolls: &asked,
			}
			all = append(all, &blackboard.Upstream{
				Instance: zinniamast.Instance{
					ID:      fmt.Sprint(i),
					Started: time.Now().Add(-time.Hour),
				},
				Engine: engines[i],
			})
		}
		board.AddAll(all)
		reports := capacity.NewReports(board)
		look := func(rounds int, apart time.Duration) int {
			heard := 0
			for range rounds {
				heard = 0
				for i := range engines {
					if _, ok := reports.Last(fmt.Sprint(i)); ok {
						heard++
					}
					synctest.Wait()
				}
				time.Sleep(apart)
			}
			return heard
		}
		const round = 5 * time.Second
		check.Equal(look(3, round), count)
		look(10, time.Minute)
		before := asked.Load()
		const minutes = 60
		look(minutes, time.Minute)
		perSecond := float64(asked.Load()-before) / (minutes * 60)
		t.Logf("%.1f questions a second", perSecond)
		check.True(perSecond < 6)

		reports.Expect("1")
		board.MarkLeaving("2", time.Now().Add(time.Minute))
		ordered, leaving := engines[1].polls.Load(), engines[2].polls.Load()
		look(8, round)
		check.True(engines[1].polls.Load() >= ordered+2)
		check.True(engines[2].polls.Load() >= leaving+2)
	})
}
