package claims_test

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
	"zinniamast/claims"
	"zinniamast/standin/platform"
	"zinniamast/tablebudget"
)

// claimStats has the results of one measurement, in virtual time.
type claimStats struct {
	owned, refused int
	p50, p95, p99  time.Duration
	calls          uint64
	unsaved        int
}

// measureClaims runs claims on nine nodes with a table that has a delay of 5 ms
// and accepts 300 calls per second. Each call runs 20 ms upstream, and its outcome
// is saved too.
func measureClaims(t *testing.T, offered, maxBatch int) (m claimStats) {
	const seconds, nodes = 4, 9
	synctest.Test(t, func(*testing.T) {
		p := platform.New(platform.Config{
			TableDelay:    5 * time.Millisecond,
			WritesASecond: 300,
		})
		var all []*claims.Claims
		var clients []*tablebudget.Client
		for n := range nodes {
			client := tablebudget.New(tablebudget.Config{
				Table:           p.Table,
				WritesPerSecond: 290.0 / nodes,
				ReadsPerSecond:  2000.0 / nodes,
				MaxBatch:        maxBatch,
			})
			clients = append(clients, client)
			all = append(all, claims.New(claims.Config{
				Table: client,
				Node:  fmt.Sprint("node-", n),
			}))
		}
		random := rand.New(rand.NewPCG(1, 1))
		var mu sync.Mutex
		var waits []time.Duration
		var callers sync.WaitGroup
		for i := range offered * seconds {
			node := all[random.IntN(nodes)]
			at := time.Duration(random.Int64N(seconds * int64(time.Second)))
			callers.Go(func() {
				time.Sleep(at)
				began := time.Now()
				result, err := node.Begin(context.Background(), claims.Call{
					Organisation: "north",
					Service:      "booking",
					Key:          fmt.Sprint(i),
					Deadline:     began.Add(30 * time.Second),
				})
				waited := time.Since(began)
				if err == nil {
					time.Sleep(20 * time.Millisecond)
					result.Claim.Answer(zinniamast.ServiceAnswer{Status: 200})
				}
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					m.refused++
					return
				}
				m.owned++
				waits = append(waits, waited)
			})
		}
		callers.Wait()
		for i, node := range all {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			m.unsaved += node.Close(ctx)
			cancel()
			clients[i].Close()
		}
		slices.Sort(waits)
		m.p50 = waits[len(waits)/2]
		m.p95 = waits[len(waits)*95/100]
		m.p99 = waits[len(waits)*99/100]
		m.calls = p.Counts().TableWrites
	})
	return m
}

// Bookings arrive faster than the table accepts calls. Without batching, callers
// wait and are refused. With batching, claims and outcomes of concurrent requests
// share calls, and the wait stays close to the table's own delay of 5 ms.
func TestClaimsBatchWrites(t *testing.T) {
	is := is.New(t)
	for _, offered := range []int{50, 100, 200, 500, 1000} {
		single := measureClaims(t, offered, 2)
		batched := measureClaims(t, offered, 100)
		t.Logf("%d/s single  %+v", offered, single)
		t.Logf("%d/s batched %+v", offered, batched)
		is.Equal(batched.refused, 0)
		is.Equal(batched.unsaved, 0)
		is.True(batched.p95 <= 100*time.Millisecond)
		if offered >= 500 {
			is.True(single.refused > 0)
		}
	}
}
