package lease_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast/standin/platform"
)

// watcher looks who may act.
type watcher struct {
	nodes []*node
	// ended are nodes whose machine runs another one now.
	ended   []*node
	acted   int
	highest uint64
	holder  *node
	// turns are the machines in the order in which they acted.
	turns []turn
}

// turn is a time in which one machine alone acted.
type turn struct {
	machine string
	last    time.Time
}

func (w *watcher) crash(at int) {
	w.nodes[at].table.crash()
	w.nodes[at].end()
}

// watch looks ten times a second for so long.
func (w *watcher) watch(length time.Duration) (failure string) {
	for began := time.Now(); time.Since(began) < length; {
		time.Sleep(100 * time.Millisecond)
		if failure := w.look(); failure != "" {
			return failure
		}
	}
	return ""
}

func (w *watcher) look() (failure string) {
	var actor *node
	for _, n := range append(w.ended, w.nodes...) {
		fence, err := n.lease.Check(0)
		if err != nil || n.table.gone() {
			continue
		}
		w.acted++
		if actor != nil {
			return fmt.Sprintf("nodes on %s and %s both hold", actor.machine, n.machine)
		}
		actor = n
		if fence < w.highest || fence == w.highest && n != w.holder {
			return fmt.Sprintf("node on %s holds with fence %d after another with %d", n.machine, fence, w.highest)
		}
		w.highest, w.holder = fence, n
		if failure := w.turn(n.machine); failure != "" {
			return failure
		}
	}
	return ""
}

// turn notes who acts, and fails where a machine acts again too soon.
func (w *watcher) turn(machine string) (failure string) {
	now := time.Now()
	if last := len(w.turns) - 1; last >= 0 && w.turns[last].machine == machine {
		w.turns[last].last = now
		return ""
	}
	for _, earlier := range w.turns {
		if earlier.machine == machine && now.Sub(earlier.last) < term {
			return fmt.Sprintf("%s acts again %v after its last act, others between", machine, now.Sub(earlier.last))
		}
	}
	w.turns = append(w.turns, turn{
		machine: machine,
		last:    now,
	})
	return ""
}

// Two machines are restarted in turn, a second apart. Whoever sees the calls of
// the duties alone would see the first holder act, then the second, then the
// first again within the term, as if it had been paused: its calls would count as
// those of a holder that does not know that it was followed. A third machine
// that has not held the lease takes it over at its next look all the same.
func TestNoReturnWithinTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := platform.New(platform.Config{TableDelay: 5 * time.Millisecond})
		var late, running sync.WaitGroup
		w := &watcher{}
		defer func() {
			for _, n := range w.nodes {
				n.end()
			}
			running.Wait()
		}()
		start := func(machine string) {
			w.nodes = append(w.nodes, newNodeWith(p, machine, uint64(len(w.nodes)+1), 1, 0, &late, &running))
		}
		stop := func() {
			w.nodes[len(w.nodes)-1].end()
			is.Equal(w.watch(time.Second), "")
		}
		holds := func() time.Duration {
			began := time.Now()
			for time.Since(began) < 3*term {
				is.Equal(w.watch(100*time.Millisecond), "")
				if _, err := w.nodes[len(w.nodes)-1].lease.Check(0); err == nil {
					return time.Since(began)
				}
			}
			return time.Since(began)
		}
		start("a")
		is.True(holds() < term)
		is.Equal(w.watch(time.Second), "")
		stop()
		start("b")
		is.True(holds() < time.Second)
		is.Equal(w.watch(time.Second), "")
		stop()
		start("a")
		returned := holds()
		is.True(returned > term-2*time.Second)
		is.True(returned < term+term/2)
		stop()
		start("c")
		is.True(holds() < time.Second)
	})
}
