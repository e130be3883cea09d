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

// partition is one fault between failure domains or to the platform, with
// what callers and operators get at the node that it concerns and at another.
type partition struct {
	name  string
	begin func(f *processtest.Fleet) (end func())
	here  answers
	there answers
	// changes says that the fault comes and goes while the calls are made.
	changes bool
}

// answers holds what each kind of call gets, several where more are right:
// "ok", REASON/RAN, or the exit code of config put. What is not named is "ok"
// and 0.
type answers struct {
	model, lookup, booking, issued, issuedElsewhere, put string
}

// TestPartitionMatrix brings about each partition between three processes in
// three failure domains. What needs only the node and its upstreams goes on,
// bookings go on wherever their claim or their issuer can be reached and are
// refused as not run otherwise, and config put says where a change is pending.
// When the links heal, every change is in force everywhere, no version number
// has fallen anywhere, and no booking has run twice.
func TestPartitionMatrix(t *testing.T) {
	t.Parallel()
	for _, p := range partitions {
		t.Run(p.name, func(t *testing.T) {
			is := is.New(t)
			fleet := start(t, processtest.FleetConfig{})
			here, there := fleet.Nodes[0], fleet.Nodes[1]
			keysHere, keysThere := issue(t, here), issue(t, there)
			end := p.begin(fleet)
			time.Sleep(3 * time.Second)

			base := uint64(1)
			gotHere := probe(t, here, keysHere[0], keysThere[0])
			gotThere := probe(t, there, keysThere[1], keysHere[1])
			gotHere.put, base = putAt(fleet, here, base)
			gotThere.put, base = putAt(fleet, there, base)
			t.Logf("here  %+v", gotHere)
			t.Logf("there %+v", gotThere)
			// An operator who asks the node sees whether it is cut off from the platform.
			if !p.changes {
				is.Equal(len(fleet.Status(here).Failures) > 0, p.here.put == strconv.Itoa(exitFailed))
			}
			p.here.check(t, "here", gotHere)
			p.there.check(t, "there", gotThere)

			end()
			fleet.WaitVersion(base)
			code := ""
			fleet.WaitUntil("a change to be in force everywhere", func() bool {
				code, base = putAt(fleet, here, base)
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
		here: answers{
			issuedElsewhere: "outcome_unknown/unknown no_upstream/not_run",
			put:             "3",
		},
		there: answers{
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
		here: answers{
			booking: "store_unavailable/not_run",
			put:     "1",
		},
	},
	{
		name: "domain from domains and platform",
		begin: func(f *processtest.Fleet) func() {
			f.Nodes[0].Platform.Cut()
			joinAgain := silencePeers(f)
			return func() {
				f.Nodes[0].Platform.Heal()
				joinAgain()
			}
		},
		here: answers{
			booking:         "store_unavailable/not_run",
			issuedElsewhere: "outcome_unknown/unknown no_upstream/not_run",
			put:             "1",
		},
		there: answers{
			issuedElsewhere: "outcome_unknown/unknown no_upstream/not_run",
			put:             "3",
		},
	},
	{
		name: "one way",
		begin: func(f *processtest.Fleet) func() {
			f.Nodes[0].Peers.Silence()
			return f.Nodes[0].Peers.Clear
		},
		there: answers{
			issuedElsewhere: "outcome_unknown/unknown no_upstream/not_run",
			put:             "3",
		},
	},
	{
		name:    "flapping",
		changes: true,
		begin: func(f *processtest.Fleet) func() {
			return flap(f.Nodes[0].Peers, f.Nodes[0].Platform)
		},
		here: answers{
			booking:         "ok store_unavailable/not_run",
			issuedElsewhere: "ok outcome_unknown/unknown no_upstream/not_run",
			put:             "0 1 3 6",
		},
		there: answers{
			issuedElsewhere: "ok outcome_unknown/unknown no_upstream/not_run",
			put:             "0 3",
		},
	},
}

// silencePeers cuts every node off from every other.
func silencePeers(f *processtest.Fleet) (end func()) {
	for _, n := range f.Nodes {
		n.Peers.Silence()
	}
	return func() {
		for _, n := range f.Nodes {
			n.Peers.Clear()
		}
	}
}

// flap cuts and heals links in turn until it is ended.
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

func (a answers) check(t *testing.T, side string, got answers) {
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

// probe sends one call of each kind to a node.
func probe(t *testing.T, n *processtest.Node, own, other string) answers {
	t.Helper()
	service := n.Direct + "/services/" + processtest.Service
	model := `{"model":"` + processtest.Model + `","max_tokens":5,"messages":[{"role":"user","content":"` + n.Name + `"}]}`
	return answers{
		model:           ask(t, http.MethodPost, n.Direct+"/v1/chat/completions", "", model),
		lookup:          ask(t, http.MethodGet, service+"/lookups/7", "", ""),
		booking:         ask(t, http.MethodPost, service+"/reservations", "new-"+n.Name, `{"cage":1}`),
		issued:          ask(t, http.MethodPost, service+"/reservations", own, `{"cage":2}`),
		issuedElsewhere: ask(t, http.MethodPost, service+"/reservations", other, `{"cage":3}`),
	}
}

// putAt changes the configuration and returns the exit code and the next base.
func putAt(f *processtest.Fleet, n *processtest.Node, base uint64) (string, uint64) {
	reply, code := f.Put(n, base, "change", maxTokens(int(time.Now().UnixMilli()%1e6)+1))
	return strconv.Itoa(code), max(base, reply.Number)
}

// issue takes two issued keys from a node.
func issue(t *testing.T, n *processtest.Node) []string {
	t.Helper()
	var issued struct {
		Keys []string `json:"keys"`
	}
	raw := send(t, http.MethodPost, n.Direct+"/services/"+processtest.Service+"/keys", "", `{"count":2}`).body
	if err := json.Unmarshal(raw, &issued); err != nil || len(issued.Keys) != 2 {
		t.Fatalf("issued keys: %s", raw)
	}
	return issued.Keys
}

// ask sends a call and returns "ok", or REASON/RAN of its refusal.
func ask(t *testing.T, method, url, key, body string) string {
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

// answer is what came back for a call.
type answer struct {
	status int
	body   []byte
}

// send sends a call that is the first under its key.
func send(t *testing.T, method, url, key, body string) answer {
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
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		t.Errorf("%s %s: %v", method, url, err)
	}
	return answer{
		status: response.StatusCode,
		body:   raw,
	}
}
