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

// countingEngine is an engine that counts the polls of its load report.
type countingEngine struct {
	zinniamast.Engine
	totalPolls *atomic.Int64
	polls      atomic.Int64
}

func (e *countingEngine) Load(context.Context) (zinniamast.LoadReport, error) {
	e.totalPolls.Add(1)
	e.polls.Add(1)
	return zinniamast.LoadReport{
		At:     time.Now(),
		Models: []string{"draft"},
	}, nil
}

// Guards against overloading the lease holder, which reads the report of every
// instance in each round: polled every 15 s, 5,700 engines would cost it a permanent
// 380 polls a second. It must have all reports soon after it takes over, then poll
// settled engines seldom, and still poll those that are leaving or were sent an
// order within seconds.
func TestSettledEnginesArePolledSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		const count = 5700
		var totalPolls atomic.Int64
		board := blackboard.NewUpstreams()
		engines := make([]*countingEngine, count)
		var all []*blackboard.Upstream
		for i := range engines {
			engines[i] = &countingEngine{
				totalPolls: &totalPolls,
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
		pollAll := func(rounds int, interval time.Duration) int {
			received := 0
			for range rounds {
				received = 0
				for i := range engines {
					if _, ok := reports.Last(fmt.Sprint(i)); ok {
						received++
					}
					synctest.Wait()
				}
				time.Sleep(interval)
			}
			return received
		}
		const round = 5 * time.Second
		check.Equal(pollAll(3, round), count)
		pollAll(10, time.Minute)
		before := totalPolls.Load()
		const minutes = 60
		pollAll(minutes, time.Minute)
		perSecond := float64(totalPolls.Load()-before) / (minutes * 60)
		t.Logf("%.1f polls a second", perSecond)
		check.True(perSecond < 6)

		reports.RecordOrder("1")
		board.MarkLeaving("2", time.Now().Add(time.Minute))
		ordered, leaving := engines[1].polls.Load(), engines[2].polls.Load()
		pollAll(8, round)
		check.True(engines[1].polls.Load() >= ordered+2)
		check.True(engines[2].polls.Load() >= leaving+2)
	})
}
