package processtest_test

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/processtest"
)

// partition is one fault of the links between failure domains or to the platform,
// with the expected results of calls at the affected node (called here) and at another
// node (called there).
type partition struct {
	name          string
	begin         func(f *processtest.Fleet) (end func())
	expectedHere  callResults
	expectedThere callResults
	// isFlapping is true if the fault starts and ends repeatedly during the calls.
	isFlapping bool
}

// callResults holds the result of each kind of call: "ok", REASON/RAN, or the exit
// code of config put. An expected result may list several, separated by spaces. If it
// is empty, "ok" or exit code 0 is expected.
type callResults struct {
	model, lookup, booking, issued, issuedElsewhere, put string
}

// TestPartitionMatrix creates each partition between three processes in three failure
// domains. Requests that need only the node and its upstreams must be served. Bookings
// must be served where their claim or the issuer of their key is reachable, and refused
// otherwise. config put must report where a change is pending. After the links heal,
// every change must be in force everywhere, no version number may have decreased, and
// no booking may have run twice.
func TestPartitionMatrix(t *testing.T) {
	t.Parallel()
	for _, p := range partitions {
		t.Run(p.name, func(t *testing.T) {
			is := is.New(t)
			fleet := startFleet(t, processtest.FleetConfig{})
			here, there := fleet.Nodes[0], fleet.Nodes[1]
			keysHere, keysThere := issueKeys(t, here), issueKeys(t, there)
			end := p.begin(fleet)
			time.Sleep(3 * time.Second)

			base := uint64(1)
			gotHere := sendEachCall(t, here, keysHere[0], keysThere[0])
			gotThere := sendEachCall(t, there, keysThere[1], keysHere[1])
			gotHere.put, base = putConfiguration(fleet, here, base)
			gotThere.put, base = putConfiguration(fleet, there, base)
			t.Logf("here  %+v", gotHere)
			t.Logf("there %+v", gotThere)
			// The node's status shows whether it is cut off from the platform.
			if !p.isFlapping {
				is.Equal(len(fleet.Status(here).Failures) > 0, p.expectedHere.put == strconv.Itoa(exitFailed))
			}
			p.expectedHere.check(t, "here", gotHere)
			p.expectedThere.check(t, "there", gotThere)

			end()
			fleet.WaitVersion(base)
			code := ""
			fleet.WaitUntil("a change to be in force everywhere", func() bool {
				code, base = putConfiguration(fleet, here, base)
				return code == strconv.Itoa(exitInForce)
			})
			for _, n := range fleet.Nodes {
				is.True(slices.IsSorted(n.Versions()))
				is.Equal(n.Version(), base)
			}
			is.Equal(fleet.Ledger.KeysRunTwice(), nil)
		})
	}
}

var partitions = []partition{
	{
		name:  "domains from each other",
		begin: silencePeers,
		expectedHere: callResults{
			issuedElsewhere: "outcome_unknown/unknown no_upstream/not_run",
			put:             "3",
		},
		expectedThere: callResults{
			issuedElsewhere: "outcome_unknown/unknown no_upstream/not_run",
			put:             "3",
		},
	},
	{
		name: "domain from platform",
		begin: func(f *processtest.Fleet) func() {
			f.Nodes[0].Platform.Cut()
			return f.Nodes[0].Platform.Heal
		},
		expectedHere: callResults{
			booking: "store_unavailable/not_run",
			put:     "1",
		},
	},
	{
		name: "domain from domains and platform",
		begin: func(f *processtest.Fleet) func() {
			f.Nodes[0].Platform.Cut()
			reconnect := silencePeers(f)
			return func() {
				f.Nodes[0].Platform.Heal()
				reconnect()
			}
		},
		expectedHere: callResults{
			booking:         "store_unavailable/not_run",
			issuedElsewhere: "outcome_unknown/unknown no_upstream/not_run",
			put:             "1",
		},
		expectedThere: callResults{
			issuedElsewhere: "outcome_unknown/unknown no_upstream/not_run",
			put:             "3",
		},
	},
	{
		name: "one way",
		begin: func(f *processtest.Fleet) func() {
			f.Nodes[0].Peers.DropResponses()
			return f.Nodes[0].Peers.Clear
		},
		expectedThere: callResults{
			issuedElsewhere: "outcome_unknown/unknown no_upstream/not_run",
			put:             "3",
		},
	},
	{
		name:       "flapping",
		isFlapping: true,
		begin: func(f *processtest.Fleet) func() {
			return flap(f.Nodes[0].Peers, f.Nodes[0].Platform)
		},
		expectedHere: callResults{
			booking:         "ok store_unavailable/not_run",
			issuedElsewhere: "ok outcome_unknown/unknown no_upstream/not_run",
			put:             "0 1 3 6",
		},
		expectedThere: callResults{
			issuedElsewhere: "ok outcome_unknown/unknown no_upstream/not_run",
			put:             "0 3",
		},
	},
}

// silencePeers drops the answers on every node's peer link.
func silencePeers(f *processtest.Fleet) (end func()) {
	for _, n := range f.Nodes {
		n.Peers.DropResponses()
	}
	return func() {
		for _, n := range f.Nodes {
			n.Peers.Clear()
		}
	}
}

// flap cuts and heals links alternately until the returned function is called.
func flap(links ...*processtest.Link) (end func()) {
	const period = 250 * time.Millisecond
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			for _, l := range links {
				l.Cut()
			}
			time.Sleep(period)
			for _, l := range links {
				l.Heal()
			}
			select {
			case <-time.After(period):
			case <-stop:
				return
			}
		}
	}()
	return func() {
		close(stop)
		<-stopped
	}
}

func (a callResults) check(t *testing.T, side string, got callResults) {
	t.Helper()
	for _, c := range []struct{ name, allowed, usual, got string }{
		{name: "model", allowed: a.model, usual: "ok", got: got.model},
		{name: "lookup", allowed: a.lookup, usual: "ok", got: got.lookup},
		{name: "booking", allowed: a.booking, usual: "ok", got: got.booking},
		{name: "issued", allowed: a.issued, usual: "ok", got: got.issued},
		{name: "issued elsewhere", allowed: a.issuedElsewhere, usual: "ok", got: got.issuedElsewhere},
		{name: "put", allowed: a.put, usual: "0", got: got.put},
	} {
		if !slices.Contains(strings.Split(cmp.Or(c.allowed, c.usual), " "), c.got) {
			t.Errorf("%s: %s: got %s, want %s", side, c.name, c.got, cmp.Or(c.allowed, c.usual))
		}
	}
}

// sendEachCall sends one call of each kind to a node. own is a key that the node
// issued, and other one that another node issued.
func sendEachCall(t *testing.T, n *processtest.Node, own, other string) callResults {
	t.Helper()
	service := n.DirectURL + "/services/" + processtest.Service
	model := `{"model":"` + processtest.Model + `","max_tokens":5,"messages":[{"role":"user","content":"` + n.Name + `"}]}`
	return callResults{
		model:           sendCall(t, http.MethodPost, n.DirectURL+"/v1/chat/completions", "", model),
		lookup:          sendCall(t, http.MethodGet, service+"/lookups/7", "", ""),
		booking:         sendCall(t, http.MethodPost, service+"/reservations", "new-"+n.Name, `{"cage":1}`),
		issued:          sendCall(t, http.MethodPost, service+"/reservations", own, `{"cage":2}`),
		issuedElsewhere: sendCall(t, http.MethodPost, service+"/reservations", other, `{"cage":3}`),
	}
}

// putConfiguration changes the configuration at a node and returns the exit code and
// the next base version.
func putConfiguration(f *processtest.Fleet, n *processtest.Node, base uint64) (string, uint64) {
	reply, code := f.Put(n, base, "change", withMaxTokens(int(time.Now().UnixMilli()%1e6)+1))
	return strconv.Itoa(code), max(base, reply.Number)
}

// issueKeys requests two issued keys from a node.
func issueKeys(t *testing.T, n *processtest.Node) []string {
	t.Helper()
	var issued struct {
		Keys []string `json:"keys"`
	}
	raw := send(t, http.MethodPost, n.DirectURL+"/services/"+processtest.Service+"/keys", "", `{"count":2}`).body
	if err := json.Unmarshal(raw, &issued); err != nil || len(issued.Keys) != 2 {
		t.Fatalf("issued keys: %s", raw)
	}
	return issued.Keys
}

// sendCall sends a call and returns "ok", or REASON/RAN of its refusal.
func sendCall(t *testing.T, method, url, key, body string) string {
	t.Helper()
	got := send(t, method, url, key, body)
	if got.status == http.StatusOK {
		return "ok"
	}
	var refusal struct {
		Error struct {
			Reason string `json:"reason"`
			Ran    string `json:"ran"`
		} `json:"error"`
	}
	if err := json.Unmarshal(got.body, &refusal); err != nil {
		return strconv.Itoa(got.status) + " " + string(got.body)
	}
	return refusal.Error.Reason + "/" + refusal.Error.Ran
}

// callResponse is the status and body of the response to a call.
type callResponse struct {
	status int
	body   []byte
}

// send sends a call and, if it has a key, marks it as the first with this key.
func send(t *testing.T, method, url, key, body string) callResponse {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+processtest.Key)
	request.Header.Set("Zinniamast-Deadline", "4s")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
		request.Header.Set("Zinniamast-First-Sending", "true")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Errorf("%s %s: %v", method, url, err)
		return callResponse{}
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		t.Errorf("%s %s: %v", method, url, err)
	}
	return callResponse{
		status: response.StatusCode,
		body:   raw,
	}
}
