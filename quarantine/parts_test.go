package quarantine_test

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast/platform"
	"zinniamast/quarantine"
	"zinniamast/standin/store"
)

// The parts of the prompts: one that nearly all requests share, one that crashes replicas,
// another that does, and others.
const (
	commonPart = 0xc0
	badPart    = 0xbad
	worsePart  = 0xdead
	newPart    = 0x5e
	nextPart   = 0x6e
)

// partNode is a node with a quarantine of parts.
type partNode struct {
	*quarantine.Parts
}

// newPartNodes returns nodes whose replicas are named domain/number.
func newPartNodes(count int) []partNode {
	h := &hub{}
	var all []partNode
	for range count {
		all = append(all, partNode{
			Parts: quarantine.NewParts(quarantine.PartsConfig{
				FailureDomain: domainOfReplica,
				Gossip: &link{
					hub: h,
				},
			}),
		})
	}
	return all
}

func domainOfReplica(replica string) string {
	domain, _, _ := strings.Cut(replica, "/")
	return domain
}

// crash sends a request to a replica that crashes.
func (n partNode) crash(replica string, parts ...uint64) {
	r := n.Started(replica, parts, nil)
	n.ReplicaCrashed(replica)
	r.Ended(false)
}

// answer sends a request to a replica that answers it.
func (n partNode) answer(replica string, parts ...uint64) {
	r := n.Started(replica, parts, nil)
	r.Wrote()
	r.Ended(true)
}

func (n partNode) isHeld(parts ...uint64) bool {
	_, err := n.Check(parts)
	return err != nil
}

func (n partNode) isSuspect(parts ...uint64) bool {
	alone, _ := n.Check(parts)
	return alone
}

// heard waits until all nodes have heard what was published.
func heard() { time.Sleep(2 * gossipDelay) }

// playParts runs a test with nodes that have answered requests with the common part.
func playParts(t *testing.T, count int, play func(is *is.I, nodes []partNode)) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newPartNodes(count)
		for _, n := range nodes {
			n.answer("a/1", commonPart)
		}
		play(is.New(t), nodes)
		heard()
	})
}

// Guards against holding back the sound parts beside the one that crashes replicas.
func TestOnlyCrashingPartIsHeldBack(t *testing.T) {
	playParts(t, 3, func(is *is.I, nodes []partNode) {
		beside := nodes[1].Started("a/1", []uint64{commonPart, newPart}, nil)
		nodes[0].crash("a/1", commonPart, badPart)
		nodes[1].ReplicaCrashed("a/1")
		beside.Ended(false)
		heard()
		nodes[2].crash("b/1", commonPart, badPart)
		heard()
		for _, n := range nodes {
			is.True(n.isHeld(commonPart, badPart))
			is.True(!n.isHeld(commonPart, newPart))
			is.True(!n.isHeld(commonPart))
		}
	})
}

// Guards against a verdict on a part that was only ever seen beside the crashing one.
func TestPartsThatAreAlwaysTogetherAreHeldBackTogether(t *testing.T) {
	playParts(t, 2, func(is *is.I, nodes []partNode) {
		nodes[0].crash("a/1", commonPart, newPart, badPart)
		nodes[0].crash("b/1", commonPart, newPart, badPart)
		heard()
		for _, n := range nodes {
			is.True(n.isHeld(commonPart, newPart, badPart))
			is.True(!n.isHeld(commonPart, newPart))
			is.True(n.isSuspect(commonPart, newPart))
		}
		nodes[1].answer("c/1", commonPart, newPart)
		heard()
		for _, n := range nodes {
			is.True(!n.isSuspect(commonPart, newPart))
			is.True(n.isHeld(commonPart, badPart))
		}
	})
}

// Guards against holding back the part that all requests share, after a restart that made all parts new.
func TestCommonPartIsNotHeldBackAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		nodes := newPartNodes(2)
		nodes[0].crash("a/1", commonPart, badPart)
		heard()
		nodes[1].crash("b/1", commonPart, badPart)
		heard()
		for _, n := range nodes {
			is.True(n.isHeld(commonPart, badPart))
			is.True(!n.isHeld(commonPart, newPart))
		}
		nodes[0].answer("c/1", commonPart, newPart)
		heard()
		for _, n := range nodes {
			is.True(!n.isSuspect(commonPart, nextPart))
			is.True(n.isHeld(badPart))
		}
	})
}

// Guards against a second crashing part that goes on beside the first one.
func TestTwoCrashingPartsAreBothHeldBack(t *testing.T) {
	playParts(t, 3, func(is *is.I, nodes []partNode) {
		for i, domain := range []string{"a", "b", "c"} {
			replica := fmt.Sprint(domain, "/1")
			both := nodes[0].Started(replica, []uint64{commonPart, worsePart}, nil)
			nodes[i].crash(replica, commonPart, badPart)
			if i > 0 {
				nodes[0].ReplicaCrashed(replica)
			}
			both.Ended(false)
			heard()
			if !nodes[i].isHeld(commonPart, worsePart) {
				nodes[i].crash(fmt.Sprint(domain, "/2"), commonPart, worsePart)
			}
			heard()
		}
		for _, n := range nodes {
			is.True(n.isHeld(commonPart, badPart))
			is.True(n.isHeld(commonPart, worsePart))
			is.True(!n.isHeld(commonPart, newPart))
		}
	})
}

// Guards against taking the loss of a failure domain for the fault of a part that is new.
func TestFailedDomainHoldsNoPartBack(t *testing.T) {
	playParts(t, 2, func(is *is.I, nodes []partNode) {
		replicas := []string{"a/1", "a/2", "a/3"}
		for _, replica := range replicas {
			r := nodes[0].Started(replica, []uint64{commonPart, newPart}, nil)
			defer r.Ended(false)
		}
		for _, replica := range replicas {
			nodes[0].ReplicaCrashed(replica)
		}
		heard()
		for _, n := range nodes {
			is.True(!n.isHeld(commonPart, newPart))
			is.True(n.isSuspect(commonPart, newPart))
		}
		avoided := nodes[1].ReplicasToAvoid([]uint64{commonPart, newPart}, []string{"a/4", "b/1"})
		is.Equal(avoided, []string{"a/4"})
	})
}

// Guards against a freed part that crashes replicas as often as before, and against one that stays a suspect once it is sound.
func TestFreedPartIsHeldBackAtItsNextCrash(t *testing.T) {
	for _, becameSound := range []bool{false, true} {
		playParts(t, 2, func(is *is.I, nodes []partNode) {
			nodes[0].crash("a/1", commonPart, badPart)
			nodes[0].crash("b/1", commonPart, badPart)
			heard()
			is.Equal(nodes[1].Held()[0].Key(), "bad")
			is.NoErr(nodes[1].Free(quarantine.FreePart{
				Part: badPart,
				By:   "ops",
				Why:  "replicas were mended",
			}))
			heard()
			for _, n := range nodes {
				is.True(n.isSuspect(commonPart, badPart))
			}
			if becameSound {
				nodes[0].answer("c/1", commonPart, badPart)
				heard()
				nodes[1].crash("d/1", commonPart, badPart)
			} else {
				nodes[0].crash("c/1", commonPart, badPart)
			}
			heard()
			for _, n := range nodes {
				is.Equal(n.isHeld(commonPart, badPart), !becameSound)
			}
		})
	}
}

// Guards against a part that crashes five replicas anew when it comes back after its verdict has lapsed.
func TestPartThatComesBackIsHeldBackAtItsNextCrash(t *testing.T) {
	playParts(t, 2, func(is *is.I, nodes []partNode) {
		nodes[0].crash("a/1", commonPart, badPart)
		nodes[0].crash("b/1", commonPart, badPart)
		heard()
		time.Sleep(time.Hour)
		nodes[1].answer("b/2", commonPart)
		is.True(nodes[1].isSuspect(commonPart, badPart))
		nodes[1].crash("c/1", commonPart, badPart)
		heard()
		for _, n := range nodes {
			is.True(n.isHeld(commonPart, badPart))
			is.True(!n.isHeld(commonPart))
		}
	})
}

// Guards against verdicts that are lost among the parts that callers make up, and against memory that these fill.
func TestNoiseNeitherEvictsVerdictNorFillsMemory(t *testing.T) {
	playParts(t, 1, func(is *is.I, nodes []partNode) {
		n := nodes[0]
		n.crash("a/1", commonPart, badPart)
		n.crash("b/1", commonPart, badPart)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		made := uint64(1 << 32)
		for i := range 2_000 {
			var parts []uint64
			for range 500 {
				made++
				parts = append(parts, made)
			}
			n.answer("c/1", parts...)
			for j := range parts {
				parts[j] += 1 << 40
			}
			n.crash(fmt.Sprint("d/", i), parts...)
			time.Sleep(time.Second)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		is.True(after.HeapAlloc < before.HeapAlloc+16<<20) // of the 144 MB that an instance may have
		n.crash("c/2", commonPart, badPart)
		is.True(n.isHeld(commonPart, badPart))
	})
}

// Guards against crashes by requests that were on their way when their part was held back.
func TestSendOfHeldPartIsCancelled(t *testing.T) {
	playParts(t, 2, func(is *is.I, nodes []partNode) {
		var mu sync.Mutex
		var cancelled []string
		start := func(name string) func() {
			return func() {
				mu.Lock()
				defer mu.Unlock()
				cancelled = append(cancelled, name)
			}
		}
		waiting := nodes[1].Started("c/1", []uint64{commonPart, badPart}, start("waiting"))
		written := nodes[1].Started("c/2", []uint64{commonPart, badPart}, start("written"))
		other := nodes[1].Started("c/3", []uint64{commonPart, newPart}, start("other"))
		written.Wrote()
		nodes[0].crash("a/1", commonPart, badPart)
		nodes[0].crash("b/1", commonPart, badPart)
		heard()
		mu.Lock()
		is.Equal(cancelled, []string{"waiting"})
		mu.Unlock()
		waiting.Ended(false)
		written.Ended(false)
		other.Ended(false)
	})
}

// Guards against blaming a request for a crash long after its replica began to answer it.
func TestWrittenAnswerIsNoSuspect(t *testing.T) {
	playParts(t, 1, func(is *is.I, nodes []partNode) {
		r := nodes[0].Started("a/1", []uint64{commonPart, newPart}, nil)
		r.Wrote()
		time.Sleep(time.Second)
		nodes[0].crash("a/1", commonPart, badPart)
		r.Ended(false)
		is.True(!nodes[0].isSuspect(commonPart, newPart))
		is.True(nodes[0].isSuspect(commonPart, badPart))
	})
}

// Guards against parts that crash replicas anew after all nodes have stopped at once.
func TestHeldPartOutlastsAllNodes(t *testing.T) {
	is := is.New(t)
	stored := store.New()
	defer stored.Close()
	start := func() partNode {
		p := quarantine.NewParts(quarantine.PartsConfig{
			FailureDomain: domainOfReplica,
			Table:         platform.NewTable(platform.NewStore(stored.Address())),
		})
		ctx, stop := context.WithCancel(context.Background())
		t.Cleanup(stop)
		go p.Run(ctx)
		return partNode{
			Parts: p,
		}
	}
	first := start()
	first.crash("a/1", commonPart, badPart)
	first.crash("b/1", commonPart, badPart)
	is.True(first.isHeld(commonPart, badPart))
	for range 50 {
		second := start()
		time.Sleep(200 * time.Millisecond)
		if second.isHeld(commonPart, badPart) {
			return
		}
	}
	t.Fatal("no node that started later holds the part back")
}

// Guards against discarding the crashes of the only replica of a service, or of those in its only failure domain.
func TestPartThatCrashesReplicasOfOneDomainIsHeldBack(t *testing.T) {
	for name, replicas := range map[string][]string{
		"one domain":  {"a/1", "a/2", "a/3"},
		"one replica": {"a/1", "a/1", "a/1"},
	} {
		t.Run(name, func(t *testing.T) {
			playParts(t, 3, func(is *is.I, nodes []partNode) {
				for i, replica := range replicas {
					nodes[i].crash(replica, commonPart, badPart)
					time.Sleep(3 * time.Second)
				}
				for _, n := range nodes {
					is.True(n.isHeld(commonPart, badPart))
					is.True(!n.isHeld(commonPart, newPart))
				}
			})
		})
	}
}
