package entry_test

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"zinniamast/standin/replica"
)

// versionedFleet is a fleet whose replicas are of two software versions.
type versionedFleet struct {
	*fleet
	// behaviour is that of the replicas that are added next.
	behaviour replica.Behaviour
	// replicas holds the replicas by their version.
	replicas map[string][]*replica.Replica
	// client keeps the connections of all callers: an instance on a busy machine may close new
	// ones unread.
	client *http.Client
}

// streamEvents is the number of events of a stream, and eventsUntilBreak the number of those
// that a caller gets at first.
const (
	streamEvents     = 8
	eventsUntilBreak = 3
)

// untilEnd is a number of events that no stream has. A caller that reads so many keeps its connection.
const untilEnd = 1000

func newVersionedFleet(t *testing.T) *versionedFleet {
	f := &versionedFleet{
		fleet: newFleet(t),
		behaviour: replica.Behaviour{
			Events: streamEvents,
			Gap:    20 * time.Millisecond,
		},
		replicas: map[string][]*replica.Replica{},
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: rolloutCallers,
			},
		},
	}
	t.Cleanup(f.client.CloseIdleConnections)
	f.stopTimeout = 1500 * time.Millisecond
	f.store.Remove("servers", "i-1")
	f.store.Put("op", "config", []byte(`{"version":2,
		"routes":[{"name":"r","hostname":"models.example","prefix":"/say/","routeType":"stream","resumable":true,"timeoutMs":5000,"sloMs":200,"gapSloMs":250,"service":"svc","maxAttempts":3,"anonymous":true}],
		"services":[{"name":"svc"}],
		"limits":{"maxBodyBytes":4096},
		"tenants":[{"name":"acme","apiKeys":["k"]}]}`))
	return f
}

// addReplicas starts replicas of a software version.
func (f *versionedFleet) addReplicas(version string, count int) {
	for range count {
		r := replica.New(fmt.Sprintf("%s-%d", version, len(f.replicas[version])))
		f.t.Cleanup(r.Close)
		r.SetBehaviour(f.behaviour)
		f.replicas[version] = append(f.replicas[version], r)
		f.list(r, version)
	}
}

// list puts the entry of a replica into the store.
func (f *versionedFleet) list(r *replica.Replica, version string) {
	f.store.Put("servers", r.ID, fmt.Appendf(nil,
		`{"service":"svc","address":%q,"zone":"here","state":"ready","slots":8,"version":%q,"born":1}`, r.Address(), version))
}

// read sends a request for a stream to an instance, disconnects after the given number of
// events, and returns the status and the ID of the last event. It resumes a stream if that has
// a name, after an event.
func (f *versionedFleet) read(instance, id, resumes, after string, events int) (status int, last string) {
	f.t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+f.settings[instance].Frontend+"/say/"+id, nil)
	f.is.NoErr(err)
	request.Host = "models.example"
	request.Header.Set("Zinniamast-Request-Id", id)
	if resumes != "" {
		request.Header.Set("Resumes", resumes)
		request.Header.Set("Last-Event-Id", after)
	}
	response, err := f.client.Do(request)
	if err != nil {
		f.t.Error(err)
		return 0, ""
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for events > 0 && lines.Scan() {
		if event, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			last = event
			events--
		}
	}
	return response.StatusCode, last
}

// checkVersions checks that each stream went on only at the version that began it, and
// returns how many runs went on.
func (f *versionedFleet) checkVersions() (resumed int) {
	f.t.Helper()
	type run struct {
		*replica.Run
		version string
	}
	var runs []run
	for version, replicas := range f.replicas {
		for _, r := range replicas {
			for _, each := range r.Runs() {
				runs = append(runs, run{
					Run:     each,
					version: version,
				})
			}
		}
	}
	slices.SortFunc(runs, func(a, b run) int { return a.Received.Compare(b.Received) })
	began := map[string]string{}
	mixed := 0
	for _, r := range runs {
		stream := r.ID
		if resumes := r.Header.Get("Resumes"); resumes != "" {
			stream = resumes
		}
		if r.Header.Get("Last-Event-Id") == "" {
			began[stream] = r.version
			continue
		}
		resumed++
		if began[stream] != r.version {
			mixed++
		}
	}
	f.is.Equal(mixed, 0) // streams that went on at another version
	return resumed
}

// Guards against a broken stream that the same instance resumes at another software version.
func TestBrokenStreamGoesOnAtItsVersion(t *testing.T) {
	f := newVersionedFleet(t)
	f.behaviour.BreakAfter, f.behaviour.BreakNew = eventsUntilBreak, true
	f.addReplicas("v1", 3)
	f.addReplicas("v2", 3)
	f.start("edge-1")
	time.Sleep(2500 * time.Millisecond) // It may use its whole retry budget.
	for i := range 10 {
		_, last := f.read("edge-1", fmt.Sprint("r-", i), "", "", streamEvents)
		f.is.Equal(last, fmt.Sprint(streamEvents))
	}
	f.is.Equal(f.checkVersions(), 10) // each stream went on
}

// Guards against a caller whose stream goes on at another software version, at an instance that never saw it.
func TestReturningCallerGoesOnAtItsVersion(t *testing.T) {
	f := newVersionedFleet(t)
	f.addReplicas("v1", 3)
	f.addReplicas("v2", 3)
	names := []string{"edge-1", "edge-2", "edge-3", "edge-4"}
	f.start(names[0])
	for _, name := range names[1:] {
		f.start(name, f.settings[names[0]].Peer)
	}
	time.Sleep(1500 * time.Millisecond) // The instances know of each other.
	const streams = 20
	last := map[string]string{}
	for i := range streams {
		id := fmt.Sprint("r-", i)
		_, last[id] = f.read("edge-1", id, "", "", eventsUntilBreak)
		f.is.Equal(last[id], fmt.Sprint(eventsUntilBreak))
	}
	f.stops["edge-1"]()
	for i := range streams {
		id := fmt.Sprint("r-", i)
		f.read(names[1+i%3], "again-"+id, id, last[id], streamEvents)
	}
	f.is.Equal(f.checkVersions(), streams) // each stream went on
}
