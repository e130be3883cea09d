package rollout_test

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/rollout"
)

// document returns a valid configuration whose deadline identifies the version.
func document(seconds int) []byte {
	return fmt.Appendf(nil, `{
		"defaults": {"deadline": "%ds"},
		"organisations": [{"name": "north", "key_hashes": ["%064x"]}],
		"models": [{"name": "drafts"}],
		"services": []
	}`, seconds, 7)
}

func change(base uint64, seconds int) rollout.Put {
	return rollout.Put{
		Raw:  document(seconds),
		Base: base,
		Who:  "tester",
		Why:  "a test",
	}
}

func waitFor(limit time.Duration, condition func() bool) time.Duration {
	start := time.Now()
	for time.Since(start) < limit {
		if condition() {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return -1
}

// checkVersionsIncrease stops all nodes and checks that none returned to an
// older version.
func (f *fleet) checkVersionsIncrease() {
	f.mu.Lock()
	nodes := maps.Clone(f.nodes)
	f.mu.Unlock()
	for _, n := range nodes {
		n.stop()
		for i := 1; i < len(n.versionsSeen); i++ {
			is.New(f.t).True(n.versionsSeen[i] > n.versionsSeen[i-1])
		}
	}
}

// An operator puts a change while parts of the fleet cannot reach each other or
// the table. The reply must report correctly which nodes have the change in
// force. Nodes that are partitioned must keep their version and receive the
// change soon after they are reconnected; no node may return to an older
// version.
func TestPartitionMatrix(t *testing.T) {
	cases := []struct {
		name   string
		inject func(f *fleet)
		want   rollout.Outcome
		// lagging is the failure domain that may lack the change until the
		// fault ends.
		lagging string
		// stale reports that the domain must have reported that it may not be
		// current.
		stale bool
	}{
		{
			name:   "no fault",
			inject: func(*fleet) {},
			want:   rollout.InForce,
		},
		{
			name:   "table slow",
			inject: func(f *fleet) { f.table.update(func() { f.table.delay = time.Second }) },
			want:   rollout.InForce,
		},
		{
			name: "table down right after acceptance",
			inject: func(f *fleet) {
				f.table.update(func() { f.table.afterWrite = func() { f.table.unreachableFrom["all"] = true } })
			},
			want: rollout.InForce,
		},
		{
			name: "domain cut off from the others",
			inject: func(f *fleet) {
				f.setIsolated("domain-c", true)
			},
			want: rollout.Pending,
		},
		{
			name: "domain cut off from the table",
			inject: func(f *fleet) {
				f.table.update(func() {
					for _, id := range []string{"c0", "c1", "c2"} {
						f.table.unreachableFrom[id] = true
					}
				})
			},
			want: rollout.InForce,
		},
		{
			name: "domain cut off from the others and the table",
			inject: func(f *fleet) {
				f.setIsolated("domain-c", true)
				f.table.update(func() {
					for _, id := range []string{"c0", "c1", "c2"} {
						f.table.unreachableFrom[id] = true
					}
				})
			},
			want:    rollout.Pending,
			lagging: "domain-c",
			stale:   true,
		},
		{
			name: "one way from the domain cut",
			inject: func(f *fleet) {
				f.cutOneWay([]string{"c0", "c1", "c2"}, []string{"a0", "a1", "a2", "b0", "b1", "b2"})
			},
			want: rollout.Pending,
		},
		{
			name:    "table down",
			inject:  func(f *fleet) { f.table.update(func() { f.table.unreachableFrom["all"] = true }) },
			want:    rollout.Unavailable,
			lagging: "all",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				check := is.New(t)
				f := newFleet(t, 3, 3)
				origin := f.nodes["a1"]
				check.Equal(origin.Put(t.Context(), change(0, 60)).Outcome, rollout.InForce)
				c.inject(f)
				reply := origin.Put(t.Context(), change(1, 61))
				check.Equal(reply.Outcome, c.want)
				if c.lagging != "all" {
					took := waitFor(20*time.Second, func() bool { return f.allInForce(2, c.lagging) })
					t.Logf("in force on all reachable nodes %v after the put returned", took)
					check.True(took >= 0)
				}
				// Nodes that the reply lists as confirmed have the version in
				// force.
				for _, confirmed := range reply.Nodes {
					if confirmed.Number == 2 {
						check.True(f.nodes[confirmed.Node].Number() == 2)
					}
				}
				time.Sleep(time.Minute)
				check.Equal(!f.nodes["c1"].IsCurrent(), c.stale || c.want == rollout.Unavailable ||
					strings.Contains(c.name, "table down") || c.name == "domain cut off from the table")
				check.True(f.nodes["c1"].Number() >= 1)
				f.setIsolated("domain-c", false)
				f.table.update(func() {
					clear(f.table.unreachableFrom)
					f.table.delay = 0
					f.table.afterWrite = nil
				})
				if c.want != rollout.Unavailable {
					took := waitFor(time.Minute, func() bool { return f.allInForce(2, "") })
					t.Logf("in force everywhere %v after the fault", took)
					check.True(took >= 0)
				}
				time.Sleep(10 * time.Second)
				check.True(f.nodes["c1"].IsCurrent())
				f.checkVersionsIncrease()
			})
		})
	}
}

// Two operators change the same version at once. One put must succeed; the
// other must return a conflict with the differences, so that no change is lost
// silently.
func TestConcurrentPuts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		f := newFleet(t, 2, 2)
		check.Equal(f.nodes["a0"].Put(t.Context(), change(0, 60)).Outcome, rollout.InForce)
		replies := make(chan rollout.PutReply, 2)
		for i, id := range []string{"a1", "b1"} {
			go func() { replies <- f.nodes[id].Put(t.Context(), change(1, 70+i)) }()
		}
		first, second := <-replies, <-replies
		if first.Outcome == rollout.InForce {
			first, second = second, first
		}
		check.Equal(first.Outcome, rollout.Conflicted)
		check.Equal(second.Outcome, rollout.InForce)
		check.Equal(first.Number, uint64(2))
		check.Equal(first.Newest.Who, "tester")
		check.Equal(len(first.Changes), 1)
		check.Equal(first.Changes[0].Path, "defaults.deadline")
		history, err := f.nodes["b0"].History(t.Context(), 0, 10)
		check.NoErr(err)
		check.Equal(len(history), 2)
		check.Equal(history[1].Changes[0].Before, `"1m0s"`)
		f.checkVersionsIncrease()
	})
}

// The table accepts the write but its reply is lost. The operator must be
// informed that the change is in force, not that it failed or conflicts with
// itself.
func TestLostTableReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		f := newFleet(t, 1, 3)
		f.table.update(func() { f.table.lostReplies = 1 })
		reply := f.nodes["a1"].Put(t.Context(), change(0, 60))
		check.Equal(reply.Outcome, rollout.InForce)
		check.Equal(reply.Number, uint64(1))
		// If the table is unavailable afterwards, the result cannot be known
		// and the reply must say so.
		f.table.update(func() {
			f.table.lostReplies = 1
			f.table.afterWrite = func() { f.table.unreachableFrom["all"] = true }
		})
		reply = f.nodes["a1"].Put(t.Context(), change(1, 61))
		check.Equal(reply.Outcome, rollout.Uncertain)
		f.table.update(func() {
			f.table.afterWrite = nil
			clear(f.table.unreachableFrom)
		})
		check.True(waitFor(10*time.Second, func() bool { return f.allInForce(2, "") }) >= 0)
		f.checkVersionsIncrease()
	})
}

// The table is restored from an old backup while a node restarts. Neither the
// nodes with newer versions nor the restarted one may return to an older
// version, and the next change must be numbered above the lost one.
func TestTableRestoredFromBackup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		f := newFleet(t, 2, 3)
		check.Equal(f.nodes["a0"].Put(t.Context(), change(0, 60)).Outcome, rollout.InForce)
		var backup map[zinniamast.Key]zinniamast.Item
		f.table.update(func() { backup = maps.Clone(f.table.items) })
		check.Equal(f.nodes["a0"].Put(t.Context(), change(1, 61)).Outcome, rollout.InForce)
		check.Equal(f.nodes["a0"].Put(t.Context(), change(2, 62)).Outcome, rollout.InForce)
		f.table.update(func() { f.table.items = backup })
		f.nodes["b1"].stop()
		time.Sleep(5 * time.Second)
		restarted := f.start("b1", "domain-b")
		check.True(waitFor(10*time.Second, func() bool { return restarted.Number() == 3 }) >= 0)
		time.Sleep(30 * time.Second)
		check.True(f.allInForce(3, ""))
		check.Equal(f.nodes["b2"].Put(t.Context(), change(3, 63)).Outcome, rollout.InForce)
		check.True(f.allInForce(4, ""))
		time.Sleep(30 * time.Second)
		check.True(f.nodes["a2"].IsCurrent())
		f.checkVersionsIncrease()
		check.Equal(restarted.versionsSeen[1], uint64(3))
	})
}

// A change that is invalid, that is based on an outdated version, or that would
// refuse all traffic must not be written.
func TestPutRejects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		f := newFleet(t, 1, 1)
		n := f.nodes["a0"]
		check.Equal(n.Put(t.Context(), change(0, 60)).Outcome, rollout.InForce)
		check.Equal(n.Put(t.Context(), change(1, 60)).Outcome, rollout.Unchanged)
		check.Equal(n.Put(t.Context(), change(0, 61)).Outcome, rollout.Conflicted)
		check.Equal(n.Put(t.Context(), rollout.Put{Raw: []byte(`{"x":1}`), Base: 1}).Outcome, rollout.Invalid)
		empty := rollout.Put{
			Raw:  []byte(`{"defaults":{},"organisations":[],"models":[],"services":[]}`),
			Base: 1,
		}
		reply := n.Put(t.Context(), empty)
		check.Equal(reply.Outcome, rollout.Warned)
		check.Equal(len(reply.Messages), 2)
		empty.Force = true
		check.Equal(n.Put(t.Context(), empty).Outcome, rollout.InForce)
		entry, err := n.Get(context.Background(), 1)
		check.NoErr(err)
		raw, err := entry.Raw()
		check.NoErr(err)
		check.Equal(string(raw), string(document(60)))
	})
}
