package processtest_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/load"
	"zinniamast/processtest"
	"zinniamast/standin/platform"
)

// TestPlatformOutage cuts every node off from the platform for two seconds under
// load. Model requests do not depend on the platform, so all must be complete.
// Bookings are served or refused as "not run", and a refused booking must not run.
func TestPlatformOutage(t *testing.T) {
	fleet := startFleet(t, processtest.FleetConfig{})
	modelRun := fleet.StartLoad(load.Config{
		Rate:     25,
		Duration: 4 * time.Second,
		Seed:     6,
		Mix:      modelMix,
	})
	serviceRun := fleet.StartLoad(load.Config{
		Rate:     25,
		Duration: 4 * time.Second,
		Seed:     7,
		Mix:      serviceMix,
		Deadline: 10 * time.Second,
	})
	time.Sleep(time.Second)
	for _, n := range fleet.Nodes {
		n.Platform.Cut()
	}
	time.Sleep(2 * time.Second)
	for _, n := range fleet.Nodes {
		n.Platform.Heal()
	}
	checkAllComplete(t, modelRun.Report())
	checkNoViolations(t, serviceRun.Report())
}

// TestUpstreamsReclaimed reclaims one engine and then all upstreams of a failure
// domain under load, each with two seconds of notice. It guards against incomplete
// answers: streams on these upstreams end in time, move, or resume elsewhere from the
// tokens already produced, and leaving upstreams receive no new requests.
func TestUpstreamsReclaimed(t *testing.T) {
	fleet := startFleet(t, processtest.FleetConfig{})
	modelRun := fleet.StartLoad(load.Config{
		Rate:     25,
		Duration: 5 * time.Second,
		Seed:     8,
		Mix:      modelMix,
	})
	serviceRun := fleet.StartLoad(load.Config{
		Rate:     15,
		Duration: 5 * time.Second,
		Seed:     9,
		Mix:      serviceMix,
	})
	time.Sleep(500 * time.Millisecond)
	fleet.Reclaim(fleet.Upstreams[0], 2*time.Second)
	time.Sleep(time.Second)
	fleet.ReclaimDomain(processtest.ThreeDomains[1], 2*time.Second)
	checkAllComplete(t, modelRun.Report())
	checkNoViolations(t, serviceRun.Report())
}

// TestEngineFailureWithoutNotice cuts the links to a failure domain's engines without
// notice, which breaks their streams. The nodes resume them elsewhere. It guards
// against answers that callers receive incomplete.
func TestEngineFailureWithoutNotice(t *testing.T) {
	fleet := startFleet(t, processtest.FleetConfig{})
	loadRun := fleet.StartLoad(load.Config{
		Rate:     25,
		Duration: 3 * time.Second,
		Seed:     10,
		Mix:      modelMix,
	})
	time.Sleep(time.Second)
	for _, u := range fleet.Upstreams {
		if u.Engine != nil && u.Instance.FailureDomain == processtest.ThreeDomains[2] {
			u.Link.Cut()
		}
	}
	checkAllComplete(t, loadRun.Report())
}

// TestPartitionSameKeys partitions the nodes from each other, while callers of two
// nodes book concurrently under the same keys. Only the platform's table decides which
// node may send a booking, and it loses answers to writes that took effect. It guards
// against keys that run twice or not at all: callers retry until they are served, and
// both callers of a key must receive the answer of its one run.
func TestPartitionSameKeys(t *testing.T) {
	fleet := startFleet(t, processtest.FleetConfig{
		Work: 20 * time.Millisecond,
	})
	for _, n := range fleet.Nodes {
		n.Peers.DropResponses()
	}
	is := is.New(t)
	is.NoErr(fleet.Platform.SetFault(platform.ServiceTable, platform.Fault{
		LoseAnswers: 10,
	}))
	const keys = 40
	answers := make([][2]string, keys)
	var callers sync.WaitGroup
	for key := range keys {
		for side := range 2 {
			callers.Go(func() {
				answers[key][side] = postBookingUntilServed(t, fleet.Nodes[side].Callers.URL(), "same-"+strconv.Itoa(key))
			})
		}
	}
	callers.Wait()
	is.Equal(fleet.Ledger.KeysRunTwice(), nil)
	t.Logf("keys=%d runs=%d lost table answers=%d", keys, fleet.Ledger.Counts().Runs, fleet.Platform.Counts().Lost)
	is.Equal(fleet.Ledger.Counts().Runs, keys)
	for _, pair := range answers {
		is.True(pair[0] != "")
		is.Equal(pair[0], pair[1]) // both callers have the answer of the one run
	}
}

// postBookingUntilServed posts one booking under a key until it is served, and returns
// the answer, or "" if it is not served in time.
func postBookingUntilServed(t *testing.T, base, key string) string {
	t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for time.Now().Before(deadline) {
		status, body := postBooking(t, base, key)
		if status == http.StatusOK {
			return body
		}
		time.Sleep(300 * time.Millisecond)
	}
	return ""
}

func postBooking(t *testing.T, base, key string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, base+"/services/"+processtest.Service+"/reservations", strings.NewReader(`{"cage":1}`))
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	request.Header.Set("Authorization", "Bearer "+processtest.Key)
	request.Header.Set("Idempotency-Key", key)
	client := &http.Client{Timeout: 10 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}
