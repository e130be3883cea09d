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

// withTokenDemand returns a configuration change that demands this many tokens per
// second from instances that provide 400 each.
func withTokenDemand(tokensASecond float64) func(*config.Config) {
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
	startAction   = regexp.MustCompile(`msg=capacity action=start instance=(\S+)`)
	leaseAcquired = regexp.MustCompile(`msg=lease name=capacity .*to=held fence=(\d+)`)
)

// TestPausedLeaseHolder pauses the holder of the capacity lease (SIGSTOP) until its
// lease has expired and another node has taken over with a higher fencing number,
// and raises the demand. It guards against a resumed holder that still carries out
// its old plan: after the takeover the cloud may start only the instances that the
// new holder requests.
func TestPausedLeaseHolder(t *testing.T) {
	testPausedLeaseHolder(t, func(fleet *processtest.Fleet, holder *processtest.Node) {
		fleet.WaitUntil("the first purchase to be logged", func() bool {
			bought := fleet.Platform.Counts().Starts
			return bought > 0 && uint64(len(startedInstances(holder))) == bought
		})
	})
}

// TestLeaseHolderPausedDuringPurchase pauses the holder after the cloud has started its
// first instances and before the answers arrive. After it resumes, it may read these
// answers and log purchases made before the pause, while the next holder has
// requested the same instances under the same tokens. It guards against instances
// that are bought twice.
func TestLeaseHolderPausedDuringPurchase(t *testing.T) {
	testPausedLeaseHolder(t, func(fleet *processtest.Fleet, holder *processtest.Node) {
		holder.Platform.Delay(startAnswerDelay)
		fleet.WaitUntil("the first purchase", func() bool { return fleet.Platform.Counts().Starts > 0 })
	})
}

// startAnswerDelay exceeds the poll interval of WaitUntil, so that the holder is
// paused before the first answer arrives.
const startAnswerDelay = 300 * time.Millisecond

// testPausedLeaseHolder pauses the holder when bought returns, which waits for the
// first purchase, and checks that the holder starts no instance after another node
// has taken the lease.
func testPausedLeaseHolder(t *testing.T, bought func(fleet *processtest.Fleet, holder *processtest.Node)) {
	t.Helper()
	is := is.New(t)
	fleet := startFleet(t, processtest.FleetConfig{
		EnginesPerDomain: 1,
	})
	fleet.Platform.Cloud.SetOffers(offersEverywhere())
	var holder *processtest.Node
	fleet.WaitUntil("a holder of the lease", func() bool {
		holder = leaseHolder(fleet, nil)
		return holder != nil
	})
	first, code := fleet.Put(fleet.Nodes[0], 1, "buy", withTokenDemand(800))
	is.Equal(code, exitInForce)
	bought(fleet, holder)

	holder.Pause()
	var next *processtest.Node
	var startedBefore map[string]bool // started before the takeover
	fleet.WaitUntil("another node to take the lease", func() bool {
		live := runningInstances(fleet)
		if next = leaseHolder(fleet, holder); next == nil {
			startedBefore = live
		}
		return next != nil
	})
	before := fleet.Platform.Counts().Starts
	other := nodeOtherThan(fleet, holder)
	fleet.Put(other, first.Number, "more", withTokenDemand(4000)) // pending at the paused node
	holder.Resume()
	fleet.WaitUntil("purchases by the new holder", func() bool { return fleet.Platform.Counts().Starts > before })
	fleet.WaitUntil("the old holder to detect the loss of its lease", func() bool {
		return strings.Contains(holder.Logs(), "from=held to=watching") || strings.Contains(holder.Logs(), "from=lapsed to=watching")
	})

	// A purchase that the cloud has counted is logged when its answer arrives.
	var buyers map[string]int
	fleet.WaitUntil("each purchase to be logged", func() bool {
		starts := fleet.Platform.Counts().Starts
		buyers = countBuyers(fleet)
		return uint64(len(buyers)) == starts && fleet.Platform.Counts().Starts == starts
	})
	for _, id := range startedInstances(holder) {
		if !startedBefore[id] {
			t.Errorf("%s was bought after the lease was lost", id)
		}
	}
	for id, count := range buyers {
		if count > 1 && !startedBefore[id] {
			t.Errorf("%s has %d buyers", id, count)
		}
	}
	is.True(fencingNumber(next) > fencingNumber(holder))
	t.Logf("bought %d, of them %d before the takeover; fences %d and %d", len(buyers), before, fencingNumber(holder), fencingNumber(next))
}

// countBuyers returns how many nodes have logged the purchase of each instance.
func countBuyers(fleet *processtest.Fleet) map[string]int {
	buyers := map[string]int{}
	for _, n := range fleet.Nodes {
		for _, id := range startedInstances(n) {
			buyers[id]++
		}
	}
	return buyers
}

// offersEverywhere returns an offer of one class at one price in each failure domain.
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

// runningInstances returns the IDs of the instances that the cloud has started and
// not stopped.
func runningInstances(fleet *processtest.Fleet) map[string]bool {
	ids := map[string]bool{}
	for _, instance := range fleet.Platform.Cloud.Live() {
		ids[instance.ID] = true
	}
	return ids
}

// nodeOtherThan returns a node other than excluded.
func nodeOtherThan(fleet *processtest.Fleet, excluded *processtest.Node) *processtest.Node {
	for _, n := range fleet.Nodes {
		if n != excluded {
			return n
		}
	}
	return nil
}

// leaseHolder returns a node other than excluded that has taken the capacity lease.
func leaseHolder(fleet *processtest.Fleet, excluded *processtest.Node) *processtest.Node {
	for _, n := range fleet.Nodes {
		if n != excluded && leaseAcquired.MatchString(n.Logs()) {
			return n
		}
	}
	return nil
}

// fencingNumber returns the fencing number under which a node last took the lease.
func fencingNumber(n *processtest.Node) int {
	found := leaseAcquired.FindAllStringSubmatch(n.Logs(), -1)
	if len(found) == 0 {
		return 0
	}
	count, err := strconv.Atoi(found[len(found)-1][1])
	if err != nil {
		return 0
	}
	return count
}

// startedInstances returns the IDs of the instances that a node's process has bought.
func startedInstances(n *processtest.Node) []string {
	var ids []string
	for _, found := range startAction.FindAllStringSubmatch(n.Logs(), -1) {
		ids = append(ids, found[1])
	}
	return ids
}
