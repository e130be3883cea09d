package attempt_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/request"
	standin "zinniamast/standin/engine"
)

// setVersions starts the engines of a rig anew, every other one at v2.
func (g *rig) setVersions() {
	for i := range g.engines {
		id := fmt.Sprint("engine-", i)
		old := g.board.Upstreams.Get(id)
		instance := old.Instance
		instance.Version = g.version(i)
		instance.Started = instance.Started.Add(time.Second)
		g.board.Upstreams.Add(&blackboard.Upstream{
			Instance: instance,
			Engine:   old.Engine,
		})
	}
}

// version returns the software version of an engine.
func (g *rig) version(engine int) string {
	if engine%2 == 0 {
		return "v1"
	}
	return "v2"
}

// checkVersions checks that all engines that ran a request have one version.
func (g *rig) checkVersions(t *testing.T, q *request.Request) (engines int) {
	t.Helper()
	versions := map[string]bool{}
	for i, e := range g.engines {
		if e.Runs().Messages[standin.MessagesHash(q.Call.Messages)] > 0 {
			engines++
			versions[g.version(i)] = true
		}
	}
	if len(versions) > 1 {
		t.Errorf("request %s ran at engines of %d versions", q.Call.ID, len(versions))
	}
	return engines
}

// Guards against an answer that goes on at another software version after its replica broke it off or left.
func TestAnswerGoesOnAtItsVersion(t *testing.T) {
	const requests = 20
	for name, c := range map[string]struct {
		kvRate int64
		end    func(g *rig)
	}{
		"cut short": {
			end: func(g *rig) {
				g.engines[0].SetFaults(standin.Faults{
					Down: true,
				})
			},
		},
		"resumed": {
			end: func(g *rig) { g.board.Upstreams.MarkLeaving("engine-0", time.Now().Add(3*time.Second)) },
		},
		"moved": {
			kvRate: 1 << 30,
			end:    func(g *rig) { g.board.Upstreams.MarkLeaving("engine-0", time.Now().Add(3*time.Second)) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newRig(4, standin.Config{
					BetweenTokens:  10 * time.Millisecond,
					KVBytesASecond: 1 << 30,
				}, c.kvRate)
				defer g.stop()
				g.setVersions()
				var all []*request.Request
				for i := range requests {
					all = append(all, g.start(context.Background(), i, 100, 900))
				}
				time.Sleep(time.Second)
				c.end(g)
				moved := 0
				for _, q := range all {
					requireWholeAnswer(t, q)
					moved += g.checkVersions(t, q) - 1
				}
				is.New(t).True(moved > 0) // some went on elsewhere
			})
		})
	}
}

// Guards against an answer that goes on at another software version after it was handed to another node.
func TestHandedOverAnswerGoesOnAtItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(4, standin.Config{
			BetweenTokens: 10 * time.Millisecond,
		}, 0)
		defer g.stop()
		g.setVersions()
		for i := range 10 {
			q := g.start(context.Background(), i, 100, 300)
			time.Sleep(500 * time.Millisecond)
			_, upstream, _ := q.Progress()
			g.runner.Release(q)
			synctest.Wait()
			g.board.Upstreams.MarkLeaving(upstream, time.Now().Add(time.Minute))
			next := request.Restore(q.Snapshot())
			go g.runner.Resume(context.Background(), next, upstream)
			requireWholeAnswer(t, next)
			is.New(t).Equal(g.checkVersions(t, next), 2)
			g.board.Upstreams.Readmit(upstream)
		}
	})
}

// Guards against an answer that waits until its deadline for a replica of a software version that is gone.
func TestAnswerOfAVersionThatIsGoneEndsSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		g := newRig(2, standin.Config{
			BetweenTokens: 10 * time.Millisecond,
		}, 0)
		defer g.stop()
		g.setVersions()
		g.board.Upstreams.MarkLeaving("engine-1", time.Now().Add(time.Minute))
		q := g.start(context.Background(), 1, 100, 900)
		time.Sleep(time.Second)
		g.board.Upstreams.Readmit("engine-1")
		g.board.Upstreams.Remove("engine-0")
		g.stops[0]()
		gone := time.Now()
		<-q.Done()
		check.True(time.Since(gone) < 10*time.Second)
		refusal := q.Snapshot().Refusal
		check.True(refusal != nil)
		check.Equal(refusal.Reason, zinniamast.ReasonUnresumable)
	})
}
