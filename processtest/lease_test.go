package processtest_test

import (
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/config"
	"zinniamast/processtest"
)

// buying makes the fleet want so many tokens a second from instances of 400.
func buying(tokensASecond float64) func(*config.Config) {
	return func(c *config.Config) {
		c.Models[0].MinTokensASecond = tokensASecond
		c.Capacity = &config.Capacity{
			Classes: []config.InstanceClass{{
				Name:          "g1",
				TokensASecond: 400,
			}},
		}
	}
}

var (
	startAction = regexp.MustCompile(`msg=capacity action=start instance=(\S+)`)
	taken       = regexp.MustCompile(`msg=lease name=capacity .*to=held fence=(\d+)`)
)

// TestPausedBuyer stops the holder of the capacity lease in its tracks (SIGSTOP)
// and leaves it so past its lease. Another node takes over with a higher fencing
// number, and demand is raised. The old holder wakes with its plan in hand and
// must not act on it: after the takeover the cloud starts only what the new
// holder asks for.
func TestPausedBuyer(t *testing.T) {
	pausedBuyer(t, func(fleet *processtest.Fleet, holder *processtest.Node) {
		fleet.WaitUntil("the first purchase to be noted", func() bool {
			bought := fleet.Platform.Counts().Starts
			return bought > 0 && uint64(len(started(holder))) == bought
		})
	})
}

// TestBuyerPausedMidPurchase stops the holder between the cloud's start of its
// first instances and the answers. When it wakes it may find the answers in its
// sockets and log purchases that were made long before; the next holder has
// asked for the same instances under the same tokens. Neither buys them twice.
func TestBuyerPausedMidPurchase(t *testing.T) {
	pausedBuyer(t, func(fleet *processtest.Fleet, holder *processtest.Node) {
		holder.Platform.Slow(answersLate)
		fleet.WaitUntil("the first purchase", func() bool { return fleet.Platform.Counts().Starts > 0 })
	})
}

// answersLate is longer than the poll of WaitUntil, so that the holder is
// stopped before the first answer arrives.
const answersLate = 300 * time.Millisecond

// pausedBuyer pauses the holder once it has bought, which bought waits for, and
// checks that it starts nothing after another node has taken the lease.
func pausedBuyer(t *testing.T, bought func(fleet *processtest.Fleet, holder *processtest.Node)) {
	t.Helper()
	is := is.New(t)
	fleet := start(t, processtest.FleetConfig{
		EnginesEach: 1,
	})
	fleet.Platform.Cloud.SetOffers(offersEverywhere())
	var holder *processtest.Node
	fleet.WaitUntil("a holder of the lease", func() bool {
		holder = buyer(fleet, nil)
		return holder != nil
	})
	first, code := fleet.Put(fleet.Nodes[0], 1, "buy", buying(800))
	is.Equal(code, exitInForce)
	bought(fleet, holder)

	holder.Pause()
	var next *processtest.Node
	var standing map[string]bool // started before the takeover
	fleet.WaitUntil("another node to take the lease", func() bool {
		live := instances(fleet)
		if next = buyer(fleet, holder); next == nil {
			standing = live
		}
		return next != nil
	})
	before := fleet.Platform.Counts().Starts
	other := otherThan(fleet, holder)
	fleet.Put(other, first.Number, "more", buying(4000)) // pending at the paused node
	holder.Resume()
	fleet.WaitUntil("purchases by the new holder", func() bool { return fleet.Platform.Counts().Starts > before })
	fleet.WaitUntil("the old holder to see that it lost", func() bool {
		return strings.Contains(holder.Logs(), "from=held to=watching") || strings.Contains(holder.Logs(), "from=lapsed to=watching")
	})

	buyers := map[string]int{}
	for _, n := range fleet.Nodes {
		for _, id := range started(n) {
			buyers[id]++
			if n == holder && !standing[id] {
				t.Errorf("%s was bought after the lease was lost", id)
			}
		}
	}
	for id, count := range buyers {
		if count > 1 && !standing[id] {
			t.Errorf("%s has %d buyers", id, count)
		}
	}
	is.Equal(uint64(len(buyers)), fleet.Platform.Counts().Starts)
	is.True(fence(next) > fence(holder))
	t.Logf("bought %d, of them %d before the takeover; fences %d and %d", len(buyers), before, fence(holder), fence(next))
}

// offersEverywhere sells one class at one price in each failure domain.
func offersEverywhere() []zinniamast.Offer {
	var offers []zinniamast.Offer
	for _, domain := range processtest.ThreeDomains {
		offers = append(offers, zinniamast.Offer{
			FailureDomain: domain,
			Class:         "g1",
			Market:        zinniamast.OnDemand,
			Price:         1,
		})
	}
	return offers
}

// instances returns the ids of what the cloud has started and not stopped.
func instances(fleet *processtest.Fleet) map[string]bool {
	ids := map[string]bool{}
	for _, instance := range fleet.Platform.Cloud.Live() {
		ids[instance.ID] = true
	}
	return ids
}

// otherThan returns a node that is not the one given.
func otherThan(fleet *processtest.Fleet, but *processtest.Node) *processtest.Node {
	for _, n := range fleet.Nodes {
		if n != but {
			return n
		}
	}
	return nil
}

// buyer returns the node, other than one, that took the capacity lease.
func buyer(fleet *processtest.Fleet, but *processtest.Node) *processtest.Node {
	for _, n := range fleet.Nodes {
		if n != but && taken.MatchString(n.Logs()) {
			return n
		}
	}
	return nil
}

// fence is the fencing number under which a node last took the lease.
func fence(n *processtest.Node) int {
	found := taken.FindAllStringSubmatch(n.Logs(), -1)
	if len(found) == 0 {
		return 0
	}
	count, err := strconv.Atoi(found[len(found)-1][1])
	if err != nil {
		return 0
	}
	return count
}

// started returns the instances that a node's process has bought.
func started(n *processtest.Node) []string {
	var ids []string
	for _, found := range startAction.FindAllStringSubmatch(n.Logs(), -1) {
		ids = append(ids, found[1])
	}
	return ids
}
