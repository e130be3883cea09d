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

// TestPlatformOutage cuts every node off from the platform for two seconds
// under load. Model requests need nothing of it and all are whole. Bookings
// are served or refused as "not run", and the refusals are true.
func TestPlatformOutage(t *testing.T) {
	fleet := start(t, processtest.FleetConfig{})
	toModels := fleet.Drive(load.Config{
		Rate: 25,
		For:  4 * time.Second,
		Seed: 6,
		Mix:  models,
	})
	toServices := fleet.Drive(load.Config{
		Rate:     25,
		For:      4 * time.Second,
		Seed:     7,
		Mix:      services,
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
	allWhole(t, toModels.Report())
	honest(t, toServices.Report())
}

// TestUpstreamsReclaimed reclaims one engine and then a whole failure domain's
// upstreams, each on two seconds of notice, under load. Streams there end in
// time, move or resume elsewhere from the tokens produced; every answer is
// whole, and nothing new is sent to what is leaving.
func TestUpstreamsReclaimed(t *testing.T) {
	fleet := start(t, processtest.FleetConfig{})
	toModels := fleet.Drive(load.Config{
		Rate: 25,
		For:  5 * time.Second,
		Seed: 8,
		Mix:  models,
	})
	toServices := fleet.Drive(load.Config{
		Rate: 15,
		For:  5 * time.Second,
		Seed: 9,
		Mix:  services,
	})
	time.Sleep(500 * time.Millisecond)
	fleet.Reclaim(fleet.Upstreams[0], 2*time.Second)
	time.Sleep(time.Second)
	fleet.ReclaimDomain(processtest.ThreeDomains[1], 2*time.Second)
	allWhole(t, toModels.Report())
	honest(t, toServices.Report())
}

// TestEnginesDieWithoutNotice cuts the links to a failure domain's upstreams
// with no warning. Streams break in the middle; the nodes resume them
// elsewhere, and callers see one unbroken answer.
func TestEnginesDieWithoutNotice(t *testing.T) {
	fleet := start(t, processtest.FleetConfig{})
	driven := fleet.Drive(load.Config{
		Rate: 25,
		For:  3 * time.Second,
		Seed: 10,
		Mix:  models,
	})
	time.Sleep(time.Second)
	for _, u := range fleet.Upstreams {
		if u.Engine != nil && u.Instance.FailureDomain == processtest.ThreeDomains[2] {
			u.Link.Cut()
		}
	}
	allWhole(t, driven.Report())
}

// TestPartitionSameKeys cuts the nodes off from each other, drops what they
// send, and lets callers on two sides book under the same keys at the same
// moment. The platform's table alone decides who may send, and it loses
// answers to writes that took effect. Each key runs at most once, and its
// callers, who ask again as long as they are told to, learn that it ran.
func TestPartitionSameKeys(t *testing.T) {
	fleet := start(t, processtest.FleetConfig{
		Work: 20 * time.Millisecond,
	})
	for _, n := range fleet.Nodes {
		n.Peers.Silence()
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
				answers[key][side] = book(t, fleet.Nodes[side].Callers.URL(), "same-"+strconv.Itoa(key))
			})
		}
	}
	callers.Wait()
	is.Equal(fleet.Ledger.KeysRunTwice(), nil)
	t.Logf("keys=%d runs=%d lost table answers=%d", keys, fleet.Ledger.Counts().Runs, fleet.Platform.Counts().Lost)
	is.Equal(fleet.Ledger.Counts().Runs, keys)
	for _, pair := range answers {
		is.True(pair[0] != "")
		is.Equal(pair[0], pair[1]) // both callers hold the answer of the one run
	}
}

// book posts one booking under a key, again while it is told to come back, and
// returns the answer, or "" if it got none in time.
func book(t *testing.T, base, key string) string {
	t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for time.Now().Before(deadline) {
		status, body := post(t, base, key)
		if status == http.StatusOK {
			return body
		}
		time.Sleep(300 * time.Millisecond)
	}
	return ""
}

func post(t *testing.T, base, key string) (int, string) {
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
