package tablebudget_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/standin/platform"
	"zinniamast/tablebudget"
)

// throughput is the result of one run, in virtual time.
type throughput struct {
	done, refused int
	calls         uint64
	p50, p95, p99 time.Duration
}

// trial describes the load on a table that answers in 5 ms and allows 300
// requests per second.
type trial struct {
	nodes           int
	writesPerSecond float64
	maxBatch        int
	// offeredPerSecond is the number of writes per second of the whole fleet,
	// spread randomly over nodes and time.
	offeredPerSecond int
	seconds          int
	// timeout is the deadline of a write.
	timeout time.Duration
}

// measure runs a trial in virtual time.
func measure(t *testing.T, c trial) (result throughput) {
	synctest.Test(t, func(*testing.T) {
		p := platform.New(platform.Config{
			TableDelay:    5 * time.Millisecond,
			WritesASecond: 300,
		})
		var paths []*tablebudget.Client
		for range c.nodes {
			paths = append(paths, tablebudget.New(tablebudget.Config{
				Table:           p.Table,
				WritesPerSecond: c.writesPerSecond,
				MaxBatch:        c.maxBatch,
			}))
		}
		random := rand.New(rand.NewPCG(1, 1))
		var mu sync.Mutex
		var waits []time.Duration
		var writers sync.WaitGroup
		for i := range c.offeredPerSecond * c.seconds {
			path := paths[random.IntN(c.nodes)]
			at := time.Duration(random.Int64N(int64(c.seconds) * int64(time.Second)))
			writers.Go(func() {
				time.Sleep(at)
				began := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
				defer cancel()
				err := path.Write(ctx, []zinniamast.Write{newWrite(fmt.Sprint(i), "", 0)})
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					result.refused++
					return
				}
				result.done++
				waits = append(waits, time.Since(began))
			})
		}
		writers.Wait()
		for _, path := range paths {
			path.Close()
		}
		slices.Sort(waits)
		result.p50 = waits[len(waits)/2]
		result.p95 = waits[len(waits)*95/100]
		result.p99 = waits[len(waits)*99/100]
		result.calls = p.Counts().TableWrites
	})
	return result
}

// Without batching the table's limit of 300 requests per second limits the
// writes, and callers above it wait and are refused; with batching, writes share
// requests, so none is refused and p95 stays low.
func TestBatchingRaisesThroughput(t *testing.T) {
	is := is.New(t)
	for _, offered := range []int{100, 250, 1000, 2000} {
		c := trial{
			nodes:            1,
			writesPerSecond:  290,
			maxBatch:         1,
			offeredPerSecond: offered,
			seconds:          4,
			timeout:          2 * time.Second,
		}
		single := measure(t, c)
		c.maxBatch = 100
		batched := measure(t, c)
		t.Logf("offered %d/s: single %+v batched %+v", offered, single, batched)
		is.Equal(batched.refused, 0)
		is.True(batched.p95 <= 30*time.Millisecond)
		if offered >= 1000 {
			is.True(single.refused > 0)
		}
	}
}

// A fleet of 370 nodes writes within its shares of the rate. At two thirds of
// the table's rate no write waits; at twice the rate, without ramp-up, writes
// wait a second or two and few are refused.
func TestFleetStaysWithinTableRate(t *testing.T) {
	is := is.New(t)
	for _, offered := range []int{200, 300, 600} {
		r := measure(t, trial{
			nodes:            370,
			writesPerSecond:  0.7,
			offeredPerSecond: offered,
			seconds:          20,
			timeout:          5 * time.Second,
		})
		t.Logf("offered %d/s by 370 nodes: %+v", offered, r)
		is.True(r.refused <= offered*20/100)
		if offered == 200 {
			is.True(r.p99 <= 30*time.Millisecond)
		}
	}
}
