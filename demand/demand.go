// Package demand measures the load of each service over all nodes; replicas are
// ordered by it.
//
// Each node sends its own load to the reader of its failure domain, the node that
// reads the replicas' load reports there. The reader sends the sum of its failure
// domain to the others. Package reports carries both.
package demand

import (
	"math"
	"sync"
	"time"
)

const (
	// loadExpiry is how long a load received from another node or failure domain
	// counts. Loads are sent several times a second, and some calls fail.
	loadExpiry = 2 * time.Second
	// domainLossTime is how long a failure domain whose load no longer arrives is taken
	// to have load that is unknown. It covers a change of its reader and a restart of
	// all its nodes.
	domainLossTime = 30 * time.Second
	// rateWindow is the time constant of the rates.
	rateWindow = 3 * time.Second
	// runningWindow is the time constant of the average of in-flight requests.
	//
	// An organisation may send six times its usual load from one moment to the next.
	// With an average over three seconds, the last of the replicas that this load
	// needs are ordered after 3 s and serve another 4 s later. Orders keep the
	// maximum of the last eight seconds, so a short average does not make them flap.
	runningWindow = time.Second
)

// Load is the load of a service.
type Load struct {
	// Running is the recent average of in-flight requests.
	Running float64
	// Arrivals is the number of requests per second.
	Arrivals float64
	// Prompt is the number of prompt tokens per second.
	Prompt float64
	// Work is how many replicas of the usual speed the requests of known work would
	// keep busy all the time; Sized is how many such requests arrive per second.
	Work  float64
	Sized float64
}

// Loads holds the load of each service.
type Loads map[string]Load

// add adds other loads service by service.
func (l Loads) add(others Loads) {
	for service, other := range others {
		sum := l[service]
		sum.Running += other.Running
		sum.Arrivals += other.Arrivals
		sum.Prompt += other.Prompt
		sum.Work += other.Work
		sum.Sized += other.Sized
		l[service] = sum
	}
}

// DomainLoad is the load of one failure domain.
type DomainLoad struct {
	Loads Loads
	// Age is the time since the loads were measured; it is relative because nodes
	// share no clock.
	Age time.Duration
}

// Demand holds the load of this node and of the others. The lock is held for
// microseconds, never during a call to another package.
type Demand struct {
	failureDomain string

	mu       sync.Mutex
	services map[string]*counters
	// nodes holds the loads received from nodes of this failure domain, and domains
	// those of whole failure domains, as their readers sent them.
	nodes   map[string]receivedLoads
	domains map[string]receivedLoads
}

// receivedLoads are loads with the time at which they were measured, by this
// node's clock.
type receivedLoads struct {
	loads      Loads
	measuredAt time.Time
}

func (r receivedLoads) isFresh(now time.Time) bool { return now.Sub(r.measuredAt) < loadExpiry }

// rate is an exponentially weighted rate per second.
type rate struct {
	value     float64
	updatedAt time.Time
}

func (r *rate) add(amount float64, now time.Time) {
	r.decay(now)
	r.value += amount / rateWindow.Seconds()
}

func (r *rate) decay(now time.Time) float64 {
	r.value *= math.Exp(-now.Sub(r.updatedAt).Seconds() / rateWindow.Seconds())
	r.updatedAt = now
	return r.value
}

// counters hold a service's load at this node.
type counters struct {
	running        int
	averageRunning float64
	updatedAt      time.Time
	arrivals       rate
	prompt         rate
	work           rate
	sized          rate
}

// changeRunning updates the average of in-flight requests and changes their
// number by delta.
func (c *counters) changeRunning(delta int, now time.Time) {
	decay := math.Exp(-now.Sub(c.updatedAt).Seconds() / runningWindow.Seconds())
	c.averageRunning = decay*c.averageRunning + (1-decay)*float64(c.running)
	c.updatedAt = now
	c.running += delta
}

// New returns an empty Demand for a node of a failure domain.
func New(failureDomain string) *Demand {
	return &Demand{
		failureDomain: failureDomain,
		services:      map[string]*counters{},
		nodes:         map[string]receivedLoads{},
		domains:       map[string]receivedLoads{},
	}
}

func (d *Demand) service(name string, now time.Time) *counters {
	c, ok := d.services[name]
	if !ok {
		c = &counters{
			updatedAt: now,
		}
		d.services[name] = c
	}
	return c
}

// RequestStarted counts a request to a service and its prompt tokens.
func (d *Demand) RequestStarted(service string, prompt int) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.service(service, now)
	c.changeRunning(1, now)
	c.arrivals.add(1, now)
	c.prompt.add(float64(prompt), now)
}

// AddWork counts the machine time that a request takes from a replica; zero means
// that it is unknown.
func (d *Demand) AddWork(service string, work time.Duration) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if work <= 0 {
		return
	}
	c := d.service(service, now)
	c.work.add(work.Seconds(), now)
	c.sized.add(1, now)
}

// RequestEnded counts the end of a request.
func (d *Demand) RequestEnded(service string) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.service(service, now).changeRunning(-1, now)
}

// load returns this node's own load; the caller holds the lock.
func (c *counters) load(now time.Time) Load {
	c.changeRunning(0, now)
	return Load{
		Running:  c.averageRunning,
		Arrivals: c.arrivals.decay(now),
		Prompt:   c.prompt.decay(now),
		Work:     c.work.decay(now),
		Sized:    c.sized.decay(now),
	}
}

// Own returns this node's own load.
func (d *Demand) Own() Loads {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.own(now)
}

func (d *Demand) own(now time.Time) Loads {
	loads := Loads{}
	for name, c := range d.services {
		loads[name] = c.load(now)
	}
	return loads
}

// ReceiveNode stores the load of a node of this failure domain.
func (d *Demand) ReceiveNode(node string, loads Loads) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nodes[node] = receivedLoads{
		loads:      loads,
		measuredAt: time.Now(),
	}
}

// ReceiveDomain stores the load of a failure domain unless a newer one is known.
func (d *Demand) ReceiveDomain(failureDomain string, load DomainLoad) {
	at := time.Now().Add(-load.Age)
	d.mu.Lock()
	defer d.mu.Unlock()
	if at.After(d.domains[failureDomain].measuredAt) {
		d.domains[failureDomain] = receivedLoads{
			loads:      load.Loads,
			measuredAt: at,
		}
	}
}

// SumDomain adds up the loads of this node and of the others in its failure
// domain and stores the sum as the domain's. The reader of the failure domain
// calls it.
func (d *Demand) SumDomain() {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := d.own(now)
	for node, r := range d.nodes {
		if !r.isFresh(now) {
			delete(d.nodes, node)
			continue
		}
		sum.add(r.loads)
	}
	d.domains[d.failureDomain] = receivedLoads{
		loads:      sum,
		measuredAt: now,
	}
}

// Domains returns the known load of one failure domain, or of all if
// failureDomain is empty.
func (d *Demand) Domains(failureDomain string) map[string]DomainLoad {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	known := map[string]DomainLoad{}
	for domain, r := range d.domains {
		if r.isFresh(now) && (failureDomain == "" || failureDomain == domain) {
			known[domain] = DomainLoad{
				Loads: r.loads,
				Age:   now.Sub(r.measuredAt),
			}
		}
	}
	return known
}

// Total returns the load of a service over all nodes. If the load of this node's
// own failure domain is unknown, the node's own load is used instead.
func (d *Demand) Total(service string) Load {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := Loads{}
	for _, r := range d.domains {
		if r.isFresh(now) {
			sum.add(r.loads)
		}
	}
	if !d.domains[d.failureDomain].isFresh(now) {
		sum.add(d.own(now))
	}
	return sum[service]
}

// ByDomain returns the load of a service in each failure domain whose load is known. A
// known failure domain without requests has a zero load; an unknown one is missing.
func (d *Demand) ByDomain(service string) map[string]Load {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	known := map[string]Load{}
	for domain, r := range d.domains {
		if r.isFresh(now) {
			known[domain] = r.loads[service]
		}
	}
	return known
}

// IsComplete reports whether the load of every failure domain that reported lately is
// known. If it is not, Total is only a lower bound.
func (d *Demand) IsComplete() bool {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.domains {
		if age := now.Sub(r.measuredAt); age >= loadExpiry && age < domainLossTime {
			return false
		}
	}
	return true
}

// MeanPrompt returns the mean length of a service's prompts in tokens; zero
// without recent arrivals.
func (d *Demand) MeanPrompt(service string) float64 {
	load := d.Total(service)
	if load.Arrivals == 0 {
		return 0
	}
	return load.Prompt / load.Arrivals
}
