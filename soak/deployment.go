package soak

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"zinniamast/processtest"
	"zinniamast/standin/replica"
	"zinniamast/standin/store"
)

// The failure domains of a deployment.
var failureDomains = []string{"burnaby-a", "surrey-b"}

// The deployment's routes, and the caller's key.
const (
	host        = "models.example"
	safePath    = "/lookup/x"
	unsafePath  = "/book/x"
	streamPath  = "/say/x"
	key         = "k"
	replicasFor = 3 // of the service, in each failure domain
)

// deployment is some entry instances before stand-ins.
type deployment struct {
	tb       testing.TB
	store    *store.Store
	nodes    []*node
	replicas []*replica.Replica
	links    []*processtest.Link
	// requests counts what callers have sent.
	requests atomic.Int64

	// mu guards the rest, which faults change.
	mu sync.Mutex
	// version is that of the newest configuration.
	version int
	// places holds each replica's, and left those that were taken away.
	places map[*replica.Replica]place
	left   []*replica.Replica
	// disturbances are the unplanned faults of instances and links so far.
	disturbances []disturbance
}

// disturbance is a fault of an instance or of a link.
type disturbance struct {
	target      any
	from, until time.Time
}

// disturb notes that a target had a disturbance from a moment until now.
func (d *deployment) disturb(target any, from time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disturbances = append(d.disturbances, disturbance{
		target: target,
		from:   from,
		until:  time.Now(),
	})
}

// disturbed says whether a target had a disturbance in a span of time.
func (d *deployment) disturbed(target any, from, until time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.disturbances, func(f disturbance) bool {
		return f.target == target && !f.from.After(until) && !f.until.Before(from)
	})
}

// linkOf returns the link before a replica.
func (d *deployment) linkOf(r *replica.Replica) *processtest.Link {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.links[slices.Index(d.replicas, r)]
}

// place is where a replica's entry says that it is.
type place struct {
	address string
	domain  string
}

// nextID names a request.
func (d *deployment) nextID() string { return fmt.Sprintf("r-%d", d.requests.Add(1)) }

// sent says whether a request of this name was sent.
func (d *deployment) sent(id string) bool {
	number, err := strconv.ParseInt(strings.TrimPrefix(id, "r-"), 10, 64)
	return err == nil && number <= d.requests.Load()
}

// node is one entry instance.
type node struct {
	name     string
	settings string
	frontend string
	ready    string
	store    *processtest.Link
	process  *processtest.Process
	// ended are its processes before.
	ended []*processtest.Process
}

// logsOf returns the log lines that name a request.
func (n *node) logsOf(id string) string {
	var found strings.Builder
	for _, p := range append(slices.Clone(n.ended), n.process) {
		for line := range strings.Lines(p.Logs()) {
			if strings.Contains(line, fmt.Sprintf("%q", id)) || strings.Contains(line, "="+id+" ") {
				found.WriteString("\n\t" + strings.TrimSpace(line))
			}
		}
	}
	return found.String()
}

// newDeployment starts so many instances, replicas behind links, and a store
// behind a link for each instance.
func newDeployment(tb testing.TB, c Config) *deployment {
	tb.Helper()
	d := &deployment{
		tb:     tb,
		store:  store.New(),
		places: map[*replica.Replica]place{},
	}
	tb.Cleanup(d.store.Close)
	d.configure()
	for i := range replicasFor * len(failureDomains) {
		d.addReplica(fmt.Sprintf("i-%d", i), failureDomains[i%len(failureDomains)])
	}
	directory := tb.TempDir()
	var seeds []string
	retries := c.retries()
	for i := range c.Instances {
		n := &node{
			name:     fmt.Sprintf("edge-%d", i),
			frontend: processtest.FreeAddress(tb),
			ready:    processtest.FreeAddress(tb),
			settings: filepath.Join(directory, fmt.Sprintf("edge-%d.toml", i)),
			store:    processtest.NewLink(tb, fmt.Sprintf("store-of-edge-%d", i), d.store.Address()),
		}
		peer := processtest.FreeAddress(tb)
		if i < 2 {
			seeds = append(seeds, peer)
		}
		text := fmt.Sprintf(settings, n.name, failureDomains[i%len(failureDomains)], "["+quoted(seeds)+"]",
			n.frontend, n.ready, peer, retries.ratio, retries.slack, n.store.Address(), d.store.Address())
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			tb.Fatal(err)
		}
		d.nodes = append(d.nodes, n)
	}
	for _, n := range d.nodes {
		d.start(n)
	}
	for _, n := range d.nodes {
		d.waitReady(n)
	}
	return d
}

func quoted(addresses []string) string {
	var all []string
	for _, address := range addresses {
		all = append(all, fmt.Sprintf("%q", address))
	}
	return strings.Join(all, ",")
}

// configure writes the next version, which has a route that no other has.
func (d *deployment) configure() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.store.Put("op", "config", fmt.Appendf(nil, configuration, d.version, pathOf(d.version)))
}

// pathOf is where a version's own route leads.
func pathOf(version int) string { return fmt.Sprintf("/only-%d/", version) }

// configuration has a route of each kind on one service, and one of its version.
const configuration = `{"version":%d,
	"routes":[
		{"name":"lookup","hostname":"models.example","prefix":"/lookup/","routeType":"safe","timeoutMs":3000,"sloMs":150,"service":"svc","maxAttempts":2},
		{"name":"own","hostname":"models.example","prefix":%q,"routeType":"safe","timeoutMs":3000,"sloMs":150,"service":"svc","maxAttempts":2},
		{"name":"say","hostname":"models.example","prefix":"/say/","routeType":"stream","resumable":true,"timeoutMs":3000,"sloMs":150,"gapSloMs":250,"service":"svc","maxAttempts":3},
		{"name":"book","hostname":"models.example","prefix":"/book/","routeType":"unsafe","timeoutMs":3000,"sloMs":150,"service":"svc","maxAttempts":1}],
	"services":[{"name":"svc"}],
	"limits":{"maxBodyBytes":4096},
	"tenants":[{"name":"acme","apiKeys":["k"],"ratePerS":100000,"burst":100000}]}`

// settings is an instance's file in the platform's format. The cloud's address,
// by which instances prove their deployment, is the store's: no other soak has it.
const settings = `nodeName = %q
ip = "127.0.0.1"
zone = %q
seeds = %s
[zones]
burnaby-a = "bc"
surrey-b = "bc"
[listen]
frontend = %q
ready = %q
controlPlane = %q
[limits]
cpuShare = 0.4
memoryMb = 284
[bounds]
graceS = 8
retryRatio = %g
retryWindowS = 10
retrySlack = %d
quotaWindowS = 8
quotaOverage = 0.1
quotaSlack = 140000
leaseMs = 3000
windowS = 5
usageLateS = 10
[platform]
address = %q
[cloud]
address = %q
`

// addReplica starts a replica behind a link and enters it into the store.
func (d *deployment) addReplica(id, domain string) {
	r := replica.New(id)
	r.StreamPrefix = "/say/"
	d.tb.Cleanup(r.Close)
	link := processtest.NewLink(d.tb, id, r.Address())
	d.mu.Lock()
	d.replicas = append(d.replicas, r)
	d.links = append(d.links, link)
	d.places[r] = place{
		address: link.Address(),
		domain:  domain,
	}
	d.mu.Unlock()
	d.enter(r, "ready")
}

// enter writes a replica's entry.
func (d *deployment) enter(r *replica.Replica, state string) {
	d.mu.Lock()
	at := d.places[r]
	d.mu.Unlock()
	d.store.Put("servers", r.ID, fmt.Appendf(nil,
		`{"service":"svc","address":%q,"zone":%q,"state":%q,"slots":16,"born":1}`, at.address, at.domain, state))
}

// replace lets a replica announce that it leaves, and returns what ends it: the
// entry goes, and another replica takes its place.
func (d *deployment) replace(r *replica.Replica) (end func()) {
	d.mu.Lock()
	gone := slices.Contains(d.left, r)
	d.mu.Unlock()
	if gone {
		return func() {}
	}
	d.enter(r, "draining")
	return func() {
		d.store.Remove("servers", r.ID)
		d.mu.Lock()
		d.left = append(d.left, r)
		next, domain := fmt.Sprintf("i-%d", len(d.replicas)), d.places[r].domain
		d.mu.Unlock()
		d.addReplica(next, domain)
	}
}

// all returns the replicas that ever were.
func (d *deployment) all() []*replica.Replica {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.replicas)
}

func (d *deployment) start(n *node) {
	if n.process != nil {
		n.ended = append(n.ended, n.process)
	}
	n.process = processtest.Start(d.tb, n.name, "entry", "-settings", n.settings)
}

// readyWithin is how long an instance may take to be ready after its start.
const readyWithin = 10 * time.Second

func (d *deployment) waitReady(n *node) {
	d.tb.Helper()
	for deadline := time.Now().Add(readyWithin); !n.isReady(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			d.tb.Fatalf("%s is not ready within %v", n.name, readyWithin)
		}
	}
}

func (n *node) isReady() bool {
	client := http.Client{
		Timeout: time.Second,
	}
	response, err := client.Get("http://" + n.ready + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
