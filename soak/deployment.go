package soak

import (
	"cmp"
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

// failureDomains are the failure domains of a deployment.
var failureDomains = []string{"burnaby-a", "surrey-b"}

// The deployment's host and routes, and the callers' API key.
const (
	host              = "models.example"
	safePath          = "/lookup/x"
	unsafePath        = "/book/x"
	streamPath        = "/say/x"
	key               = "k"
	replicasPerDomain = 3
)

// The software versions of the replicas: those of the start are replaced by new ones.
const (
	oldVersion = "v1"
	newVersion = "v2"
)

// deployment is a set of entry instances with simulated replicas and a simulated store.
type deployment struct {
	tb       testing.TB
	store    *store.Store
	nodes    []*node
	replicas []*replica.Replica
	links    []*processtest.Link
	retries  retryBudget
	// slots is the number of slots that the replicas list.
	slots int
	// configuration is the format of the configuration, and demands are the organisations that
	// send at a rate.
	configuration string
	demands       []demand
	// requestsSent counts the requests that callers have sent.
	requestsSent atomic.Int64

	// mu guards the fields below, which faults and callers change.
	mu sync.Mutex
	// sentAt holds the times at which requests were sent, and askedNodes the instances that
	// they were sent to, by ID.
	sentAt     []time.Time
	askedNodes map[string]*node
	// version is the version of the newest configuration.
	version int
	// locations holds the location of each replica, and removed lists the replicas
	// whose entries were deleted.
	locations map[*replica.Replica]location
	removed   []*replica.Replica
	// disturbances are the unplanned faults of instances and links so far.
	disturbances []disturbance
	// cuts are the times at which an instance was cut off from all replicas, and nodeFaults
	// those of any fault of an instance, also of a planned one.
	cuts, nodeFaults []disturbance
}

// disturbance is a fault of an instance or of a link.
type disturbance struct {
	target      any
	from, until time.Time
}

// recordDisturbance records that a target was disturbed from a point in time until now.
func (d *deployment) recordDisturbance(target any, from time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disturbances = append(d.disturbances, disturbance{
		target: target,
		from:   from,
		until:  time.Now(),
	})
}

// recordNodeFault records that an instance had a fault from a point in time until now.
func (d *deployment) recordNodeFault(target any, from time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nodeFaults = append(d.nodeFaults, disturbance{
		target: target,
		from:   from,
		until:  time.Now(),
	})
}

// wasDisturbed reports whether a target was disturbed at any time in an interval.
func (d *deployment) wasDisturbed(target any, from, until time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.disturbances, func(f disturbance) bool {
		return f.target == target && !f.from.After(until) && !f.until.Before(from)
	})
}

// defaultSlots is the number of slots that replicas list unless a soak sets another one.
const defaultSlots = 16

// linkOf returns the link in front of a replica.
func (d *deployment) linkOf(r *replica.Replica) *processtest.Link {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.links[slices.Index(d.replicas, r)]
}

// location is the address and failure domain in a replica's store entry.
type location struct {
	address string
	domain  string
	// version is the software version.
	version string
}

// newRequestID returns the ID of the next request, which is sent at once.
func (d *deployment) newRequestID() string {
	d.mu.Lock()
	d.sentAt = append(d.sentAt, time.Now())
	d.mu.Unlock()
	return fmt.Sprintf("r-%d", d.requestsSent.Add(1))
}

// wasSent reports whether a request with this ID was sent.
func (d *deployment) wasSent(id string) bool {
	number, err := strconv.ParseInt(strings.TrimPrefix(id, "r-"), 10, 64)
	return err == nil && number <= d.requestsSent.Load()
}

// node is one entry instance.
type node struct {
	name            string
	settings        string
	frontendAddress string
	readyAddress    string
	storeLink       *processtest.Link
	process         *processtest.Process
	// paths are the instance's own links to the replicas, by ID, and arePathsCut reports
	// whether they are cut; nil if all instances use the same links. The deployment's lock
	// guards both.
	paths       map[string]*processtest.Link
	arePathsCut bool
	// previous are the instance's earlier processes.
	previous []*processtest.Process
}

// logLines returns the log lines that mention a request.
func (n *node) logLines(id string) string {
	var found strings.Builder
	for _, p := range append(slices.Clone(n.previous), n.process) {
		for line := range strings.Lines(p.Logs()) {
			if strings.Contains(line, fmt.Sprintf("%q", id)) || strings.Contains(line, "="+id+" ") {
				found.WriteString("\n\t" + strings.TrimSpace(line))
			}
		}
	}
	return found.String()
}

// newDeployment starts the configured number of instances, replicas behind links,
// and a store with one link for each instance.
func newDeployment(tb testing.TB, c Config) *deployment {
	tb.Helper()
	d := &deployment{
		tb:         tb,
		store:      store.New(),
		locations:  map[*replica.Replica]location{},
		retries:    c.retryBudget(),
		slots:      cmp.Or(c.slots, defaultSlots),
		askedNodes: map[string]*node{},

		configuration: cmp.Or(c.configuration, configuration),
		demands:       c.demands,
	}
	tb.Cleanup(d.store.Close)
	d.putNextConfiguration()
	for i := range replicasPerDomain * len(failureDomains) {
		d.addReplica(fmt.Sprintf("i-%d", i), failureDomains[i%len(failureDomains)], oldVersion)
	}
	directory := tb.TempDir()
	var seeds []string
	for i := range c.Instances {
		n := &node{
			name:            fmt.Sprintf("edge-%d", i),
			frontendAddress: processtest.FreeAddress(tb),
			readyAddress:    processtest.FreeAddress(tb),
			settings:        filepath.Join(directory, fmt.Sprintf("edge-%d.toml", i)),
		}
		domain, storeAddress := failureDomains[i%len(failureDomains)], d.store.Address()
		if c.OwnPaths {
			domain, storeAddress = n.name, d.addPaths(n)
		}
		n.storeLink = processtest.NewLink(tb, fmt.Sprintf("store-of-edge-%d", i), storeAddress)
		peer := processtest.FreeAddress(tb)
		// A starting instance would get the links of a seed with the replicas from it.
		if i < 2 && !c.OwnPaths {
			seeds = append(seeds, peer)
		}
		text := fmt.Sprintf(settings, n.name, domain, "["+quoted(seeds)+"]", zonesWith(domain),
			n.frontendAddress, n.readyAddress, peer, d.retries.ratio, d.retries.slack, n.storeLink.Address(), d.store.Address())
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			tb.Fatal(err)
		}
		d.nodes = append(d.nodes, n)
	}
	for _, n := range d.nodes {
		d.startNode(n)
	}
	for _, n := range d.nodes {
		d.waitReady(n)
	}
	if c.OwnPaths {
		time.Sleep(joinTime)
	}
	return d
}

// joinTime is the time in which instances without seeds find each other in the store.
const joinTime = 5 * time.Second

// zonesWith returns the settings' table of failure domains with one more.
func zonesWith(domain string) string {
	var text strings.Builder
	for _, zone := range append(slices.Clone(failureDomains), domain) {
		if line := zone + " = \"bc\"\n"; !strings.Contains(text.String(), line) {
			text.WriteString(line)
		}
	}
	return text.String()
}

func quoted(addresses []string) string {
	var all []string
	for _, address := range addresses {
		all = append(all, fmt.Sprintf("%q", address))
	}
	return strings.Join(all, ",")
}

// putNextConfiguration writes the next configuration version, which has a route that
// no other version has.
func (d *deployment) putNextConfiguration() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.store.Put("op", "config", fmt.Appendf(nil, d.configuration, d.version, versionPath(d.version)))
}

// versionPath returns the path prefix of the route that only this version has.
func versionPath(version int) string { return fmt.Sprintf("/only-%d/", version) }

// configuration has a route of each type on one service and the route that only its
// version has.
const configuration = `{"version":%d,
	"routes":[
		{"name":"lookup","hostname":"models.example","prefix":"/lookup/","routeType":"safe","timeoutMs":3000,"sloMs":150,"service":"svc","maxAttempts":2},
		{"name":"own","hostname":"models.example","prefix":%q,"routeType":"safe","timeoutMs":3000,"sloMs":150,"service":"svc","maxAttempts":2},
		{"name":"say","hostname":"models.example","prefix":"/say/","routeType":"stream","resumable":true,"timeoutMs":3000,"sloMs":150,"gapSloMs":250,"service":"svc","maxAttempts":3},
		{"name":"book","hostname":"models.example","prefix":"/book/","routeType":"unsafe","timeoutMs":3000,"sloMs":150,"service":"svc","maxAttempts":1}],
	"services":[{"name":"svc"}],
	"limits":{"maxBodyBytes":4096},
	"tenants":[{"name":"acme","apiKeys":["k"],"ratePerS":100000,"burst":100000}]}`

// settings is an instance's settings file in the platform's format. Instances prove
// that they belong to the same deployment by the cloud's address, which is set to the
// store's address, since that is unique to this soak.
const settings = `nodeName = %q
ip = "127.0.0.1"
zone = %q
seeds = %s
bootstrap = true
[zones]
%s[listen]
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
exposureShare = 0.1
exposureSlack = 50
leaseMs = 3000
windowS = 5
usageLateS = 10
[platform]
address = %q
[cloud]
address = %q
`

// addReplica starts a replica behind a link and writes its entry to the store.
func (d *deployment) addReplica(id, domain, version string) {
	r := replica.New(id)
	r.StreamPrefix = "/say/"
	d.tb.Cleanup(r.Close)
	link := processtest.NewLink(d.tb, id, r.Address())
	d.mu.Lock()
	d.replicas = append(d.replicas, r)
	d.links = append(d.links, link)
	d.locations[r] = location{
		address: link.Address(),
		domain:  domain,
		version: version,
	}
	for _, n := range d.nodes {
		d.addPath(n, r)
	}
	d.mu.Unlock()
	d.putReplicaEntry(r, "ready")
}

// putReplicaEntry writes a replica's entry to the store.
func (d *deployment) putReplicaEntry(r *replica.Replica, state string) {
	d.mu.Lock()
	at := d.locations[r]
	d.mu.Unlock()
	d.store.Put("servers", r.ID, fmt.Appendf(nil,
		`{"service":"svc","address":%q,"zone":%q,"state":%q,"version":%q,"slots":%d,"born":1}`, at.address, at.domain, state, at.version, d.slots))
}

// replace marks a replica as draining. The returned function deletes its entry and
// adds another replica of the next software version in the same failure domain.
func (d *deployment) replace(r *replica.Replica) (end func()) {
	d.mu.Lock()
	isRemoved := slices.Contains(d.removed, r)
	d.mu.Unlock()
	if isRemoved {
		return func() {}
	}
	d.putReplicaEntry(r, "draining")
	return func() {
		d.store.Remove("servers", r.ID)
		d.mu.Lock()
		d.removed = append(d.removed, r)
		next, domain := fmt.Sprintf("i-%d", len(d.replicas)), d.locations[r].domain
		d.mu.Unlock()
		d.addReplica(next, domain, newVersion)
	}
}

// allReplicas returns all replicas, including the removed ones.
func (d *deployment) allReplicas() []*replica.Replica {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.replicas)
}

func (d *deployment) startNode(n *node) {
	if n.process != nil {
		n.previous = append(n.previous, n.process)
	}
	n.process = processtest.Start(d.tb, n.name, "entry", "-settings", n.settings)
}

// readyTimeout is the time within which an instance must be ready after its start.
const readyTimeout = 10 * time.Second

func (d *deployment) waitReady(n *node) {
	d.tb.Helper()
	for deadline := time.Now().Add(readyTimeout); !n.isReady(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			d.tb.Fatalf("%s is not ready within %v", n.name, readyTimeout)
		}
	}
}

func (n *node) isReady() bool {
	client := http.Client{
		Timeout: time.Second,
	}
	response, err := client.Get("http://" + n.readyAddress + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
