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

// observer checks which nodes may act under the lease.
type observer struct {
	nodes []*node
	// stopped lists the stopped nodes whose instance now runs another node.
	stopped []*node
	acted   int
	highest uint64
	holder  *node
	// tenures lists the instances in the order in which they acted.
	tenures []tenure
}

// tenure is a period in which only one instance acted; last is its latest act.
type tenure struct {
	instance string
	last     time.Time
}

func (o *observer) crash(at int) {
	o.nodes[at].table.crash()
	o.nodes[at].stop()
}

// observe checks the holders ten times a second for the given time.
func (o *observer) observe(length time.Duration) (failure string) {
	for began := time.Now(); time.Since(began) < length; {
		time.Sleep(100 * time.Millisecond)
		if failure := o.checkHolders(); failure != "" {
			return failure
		}
	}
	return ""
}

func (o *observer) checkHolders() (failure string) {
	var actor *node
	for _, n := range append(o.stopped, o.nodes...) {
		fence, err := n.lease.Check(0)
		if err != nil || n.table.hasCrashed() {
			continue
		}
		o.acted++
		if actor != nil {
			return fmt.Sprintf("nodes on %s and %s both hold the lease", actor.instance, n.instance)
		}
		actor = n
		if fence < o.highest || fence == o.highest && n != o.holder {
			return fmt.Sprintf("node on %s holds the lease with fence %d after another node with fence %d", n.instance, fence, o.highest)
		}
		o.highest, o.holder = fence, n
		if failure := o.recordTenure(n.instance); failure != "" {
			return failure
		}
	}
	return ""
}

// recordTenure records which instance acts, and fails if an instance acts again within a
// term after others acted.
func (o *observer) recordTenure(instance string) (failure string) {
	now := time.Now()
	if last := len(o.tenures) - 1; last >= 0 && o.tenures[last].instance == instance {
		o.tenures[last].last = now
		return ""
	}
	for _, earlier := range o.tenures {
		if earlier.instance == instance && now.Sub(earlier.last) < term {
			return fmt.Sprintf("%s acts again %v after its last act, with other holders in between", instance, now.Sub(earlier.last))
		}
	}
	o.tenures = append(o.tenures, tenure{
		instance: instance,
		last:     now,
	})
	return ""
}

// Two instances are restarted one after the other, a second apart. If the first
// held the lease again within the term, a receiver of the holders' calls would see
// the first, the second and the first again, and would treat it as a paused holder
// that does not know that it was replaced. A third instance that has not held the
// lease still acquires it at its next poll.
func TestNoReacquisitionWithinTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := platform.New(platform.Config{TableDelay: 5 * time.Millisecond})
		var late, running sync.WaitGroup
		o := &observer{}
		defer func() {
			for _, n := range o.nodes {
				n.stop()
			}
			running.Wait()
		}()
		start := func(instance string) {
			o.nodes = append(o.nodes, newNodeWith(p, instance, uint64(len(o.nodes)+1), 1, 0, &late, &running))
		}
		stop := func() {
			o.nodes[len(o.nodes)-1].stop()
			is.Equal(o.observe(time.Second), "")
		}
		timeToHold := func() time.Duration {
			began := time.Now()
			for time.Since(began) < 3*term {
				is.Equal(o.observe(100*time.Millisecond), "")
				if _, err := o.nodes[len(o.nodes)-1].lease.Check(0); err == nil {
					return time.Since(began)
				}
			}
			return time.Since(began)
		}
		start("a")
		is.True(timeToHold() < term)
		is.Equal(o.observe(time.Second), "")
		stop()
		start("b")
		is.True(timeToHold() < time.Second)
		is.Equal(o.observe(time.Second), "")
		stop()
		start("a")
		returned := timeToHold()
		is.True(returned > term-2*time.Second)
		is.True(returned < term+term/2)
		stop()
		start("c")
		is.True(timeToHold() < time.Second)
	})
}
