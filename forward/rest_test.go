package forward_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// The times of the fleet whose replicas ask for rest. A node must have taken note within
// restNoted, and up to restSlack requests may reach the replica in the rest.
const (
	restFrom  = 10 * time.Second
	restUntil = 30 * time.Second
	restNoted = 500 * time.Millisecond
	restSlack = 2
)

// resting is how replicas ask for rest.
type resting struct {
	// whenFull is what a replica without a free slot asks for; zero for nothing.
	whenFull time.Duration
	// slots is the number of requests that a replica takes at once meanwhile; zero for all of
	// its listed slots.
	slots int
	// shedding are the replicas that take nothing and ask for whenShedding.
	shedding     []string
	whenShedding time.Duration
}

// restAsked is the rest that a replica asked one node for.
type restAsked struct {
	node    string
	replica string
	from    time.Duration
	until   time.Duration
	// requests counts those that reached the replica from the node in that time.
	requests int
}

// errShed is the error of a replica that takes nothing.
var errShed = errors.New("the replica sheds its load")

type senderKey struct{}

// withSender names the node from which a request reaches a replica.
func withSender(ctx context.Context, node string) context.Context {
	return context.WithValue(ctx, senderKey{}, node)
}

// sentBy is a node's client of a replica. It implements zinniamast.Replica.
type sentBy struct {
	*fragile
	node string
}

// Send implements zinniamast.Replica.
func (s *sentBy) Send(ctx context.Context, request *http.Request) (*http.Response, error) {
	return s.fragile.Send(withSender(ctx, s.node), request)
}

// countInRests counts a request that reaches the replica while it wants none from its node.
func (r *fragile) countInRests(ctx context.Context) {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Since(f.start)
	for _, asked := range f.rests {
		if asked.replica == r.id && asked.node == ctx.Value(senderKey{}) && now > asked.from+restNoted && now < asked.until {
			asked.requests++
		}
	}
}

// askForRest returns the rest that the replica asks the sender of a request for, if any.
func (r *fragile) askForRest(ctx context.Context, reason error) time.Duration {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rest == nil {
		return 0
	}
	rest := f.rest.whenFull
	if reason == errShed {
		rest = f.rest.whenShedding
	}
	if rest > 0 {
		node, _ := ctx.Value(senderKey{}).(string)
		f.rests = append(f.rests, &restAsked{
			node:    node,
			replica: r.id,
			from:    time.Since(f.start),
			until:   time.Since(f.start) + rest,
		})
	}
	return rest
}

// setRest sets how replicas ask for rest from now on.
func (f *fleet) setRest(rest *resting) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rest = rest
}

// playRest plays a fleet whose replicas ask for rest, and returns its rests, those that were
// broken, and the share of requests served meanwhile. Beside it the first node's paths may be cut.
func playRest(t *testing.T, seed uint64, rest resting, isCut bool) (rests, broken int, served float64) {
	synctest.Test(t, func(t *testing.T) {
		w := &brittleWorld{
			fleet: newFleet(t, fleetConfig{
				seed:     seed,
				slots:    8,
				hasPaths: isCut,
			}),
		}
		if rest.slots > 0 {
			time.AfterFunc(restFrom, func() { w.setBrittleness(nil, rest.slots) })
			time.AfterFunc(restUntil, func() { w.setBrittleness(nil, 8) })
		}
		time.AfterFunc(restFrom, func() { w.setRest(&rest) })
		time.AfterFunc(restUntil, func() { w.setRest(nil) })
		if isCut {
			time.AfterFunc(restFrom, func() { w.nodes[0].paths.cut(cutSilent) })
			time.AfterFunc(restUntil, func() { w.nodes[0].paths.cut(notCut) })
		}
		var done sync.WaitGroup
		done.Go(func() { w.callersBetween(&done, "all", 40, 0, restUntil) })
		done.Wait()
		rests = len(w.rests)
		for _, asked := range w.rests {
			if asked.requests > restSlack {
				broken++
			}
		}
		served = w.served(restFrom, restUntil)
		if isCut {
			w.closeServers()
		}
		time.Sleep(time.Minute)
	})
	return rests, broken, served
}

// Guards against requests to a replica that asked this node for rest, and against rests that cost more requests than they spare.
func TestReplicaThatAsksForRestGetsIt(t *testing.T) {
	full := resting{
		whenFull: 2 * time.Second,
	}
	shedding := resting{
		shedding:     []string{"i-1", "i-2", "i-3"},
		whenShedding: 3 * time.Second,
	}
	for name, rest := range map[string]resting{"full": full, "shedding": shedding} {
		for seed := uint64(1); seed <= 4; seed++ {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				playRestsAgainstNone(t, seed, rest)
			})
		}
	}
}

// Guards against nodes that find room by being rejected, where each rejection by a healthy replica keeps them from it for seconds.
func TestReplicasThatAskForRestWhenFullAreUsed(t *testing.T) {
	third := []string{"i-1", "i-2", "i-3"}
	for name, rest := range map[string]resting{
		"full for 2 s": {
			whenFull: 2 * time.Second,
		},
		"full for 5 s": {
			whenFull: 5 * time.Second,
		},
		"full with five of eight slots for 2 s": {
			whenFull: 2 * time.Second,
			slots:    5,
		},
		"full with five of eight slots for 5 s": {
			whenFull: 5 * time.Second,
			slots:    5,
		},
		"full or shedding for 1 s": {
			whenFull:     time.Second,
			shedding:     third,
			whenShedding: time.Second,
		},
		"full or shedding for 5 s": {
			whenFull:     5 * time.Second,
			shedding:     third,
			whenShedding: 5 * time.Second,
		},
	} {
		for seed := uint64(1); seed <= 4; seed++ {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) { playRestsAgainstNone(t, seed, rest) })
		}
	}
}

// playRestsAgainstNone plays replicas that ask for rest, and the same ones without, and checks that no
// rest is broken and that nearly as many requests are served.
func playRestsAgainstNone(t *testing.T, seed uint64, rest resting) {
	check := is.New(t)
	rests, broken, served := playRest(t, seed, rest, false)
	silent := rest
	silent.whenFull, silent.whenShedding = 0, 0
	_, _, servedWithout := playRest(t, seed, silent, false)
	t.Logf("%d of %d rests broken; %.3f served, %.3f by replicas that ask for none, ratio %.3f", broken, rests, served, servedWithout, served/servedWithout)
	check.Equal(broken, 0)
	check.True(served >= 0.95*servedWithout)
}

// Guards against requests that an instance relays for another one into a rest that was asked of itself.
func TestRelayedRequestsKeepRests(t *testing.T) {
	shedding := resting{
		shedding:     []string{"i-1", "i-2", "i-3"},
		whenShedding: 3 * time.Second,
	}
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			check := is.New(t)
			rests, broken, served := playRest(t, seed, shedding, true)
			t.Logf("%d of %d rests broken, %.3f served", broken, rests, served)
			check.Equal(broken, 0)
		})
	}
}

// pooledShare is the share of requests that 48 slots used as one serve of the load of 44 that they get
// (Erlang's loss formula).
const pooledShare = 0.93

// Guards against nodes that ask full replicas again and again, and whose requests fail although other replicas have room.
func TestRequestsFindRoomAtOtherReplicas(t *testing.T) {
	none := resting{}
	shedding := resting{
		shedding: []string{"i-1", "i-2", "i-3"},
	}
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			check := is.New(t)
			_, _, calm := playRest(t, seed, none, false)
			_, _, served := playRest(t, seed, shedding, false)
			t.Logf("%.3f served in calm, %.3f while a third of the replicas shed all", calm, served)
			check.True(calm >= 0.95)
			check.True(served >= 0.95*pooledShare)
		})
	}
}
