// Package platform is a stand-in for the whole platform in demos, tests and
// benchmarks. It provides the table, object store, cloud, instance list and
// weight store in one process and injects faults on demand.
package platform

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"zinniamast"
)

// Config sets how the stand-in behaves while no fault is active.
type Config struct {
	// WritesASecond and ReadsASecond limit the rates of the table; zero means
	// no limit.
	WritesASecond int
	ReadsASecond  int
	// CountItems charges the write rate per item instead of per call.
	CountItems bool
	// TableDelay is the duration of every table call.
	TableDelay time.Duration
	// ListLag is the delay with which the instance list shows changes.
	ListLag time.Duration
	// PermitsASecond limits the permits of the weight store; zero means no limit.
	PermitsASecond float64
	// Weights maps models to the size of their weights in bytes.
	Weights map[string]int64
	// Offers are the offers of the cloud.
	Offers []zinniamast.Offer
	// Instances are the instances that exist at the start.
	Instances []zinniamast.Instance
	// OnStart may complete the fields of a started instance, such as its address.
	OnStart func(instance *zinniamast.Instance)
}

// Platform is the stand-in. Its parts implement the root interfaces, for use
// within one process; ServeHTTP serves the same parts to other processes.
type Platform struct {
	// Table implements zinniamast.Table.
	Table *Table
	// Objects implements zinniamast.ObjectStore.
	Objects *Objects
	// Cloud implements zinniamast.Cloud and zinniamast.InstanceList.
	Cloud *Cloud
	// Weights implements zinniamast.WeightStore.
	Weights *Weights

	mux   *http.ServeMux
	gates map[string]*gate
}

// New returns a platform without faults.
func New(c Config) *Platform {
	p := &Platform{
		mux:   http.NewServeMux(),
		gates: map[string]*gate{},
	}
	for _, name := range []string{ServiceTable, ServiceObjects, ServiceCloud, ServiceList, ServiceWeights} {
		p.gates[name] = &gate{}
	}
	p.gates[ServiceTable].delay = c.TableDelay
	p.Table = newTable(c, p.gates[ServiceTable])
	p.Objects = &Objects{
		gate:    p.gates[ServiceObjects],
		objects: map[string][]byte{},
	}
	p.Cloud = newCloud(c, p.gates[ServiceCloud], p.gates[ServiceList])
	p.Weights = newWeights(c, p.gates[ServiceWeights])
	p.routes()
	return p
}

func (p *Platform) routes() {
	p.mux.HandleFunc("POST /table", p.serveTable)
	p.mux.HandleFunc("POST /table/", p.serveTable)
	p.mux.HandleFunc("/objects/", p.serveObjects)
	p.mux.HandleFunc("GET /cloud/offers", p.serveOffers)
	p.mux.HandleFunc("GET /cloud/notices", p.serveNotices)
	p.mux.HandleFunc("POST /cloud/instances", p.serveStart)
	p.mux.HandleFunc("DELETE /cloud/instances/{id}", p.serveStop)
	p.mux.HandleFunc("GET /list/instances", p.serveList)
	p.mux.HandleFunc("GET /weights/{model}", p.serveSize)
	p.mux.HandleFunc("POST /weights/{model}/permit", p.servePermit)
	p.mux.HandleFunc("PUT /control/faults/{service}", p.serveFault)
	p.mux.HandleFunc("POST /control/reclaim", p.serveReclaim)
	p.mux.HandleFunc("POST /control/instances", p.serveAdd)
	p.mux.HandleFunc("GET /control/counts", p.serveCounts)
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// newLimiter returns a limiter for a rate per second, or nil for no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// Counts are the numbers of calls and writes since the start.
type Counts struct {
	TableReads   uint64 `json:"table_reads"`
	TableWrites  uint64 `json:"table_writes"`
	TableItems   uint64 `json:"table_items"`
	ObjectReads  uint64 `json:"object_reads"`
	ObjectWrites uint64 `json:"object_writes"`
	CloudCalls   uint64 `json:"cloud_calls"`
	ListCalls    uint64 `json:"list_calls"`
	WeightCalls  uint64 `json:"weight_calls"`
	Starts       uint64 `json:"starts"`
	Throttled    uint64 `json:"throttled"`
	Lost         uint64 `json:"lost"`
}

// Counts returns the current counters of all services.
func (p *Platform) Counts() Counts {
	table, objects := p.gates[ServiceTable].counters(), p.gates[ServiceObjects].counters()
	counts := Counts{
		TableReads:   table.reads,
		TableWrites:  table.writes,
		TableItems:   table.items,
		ObjectReads:  objects.reads,
		ObjectWrites: objects.writes,
		CloudCalls:   p.gates[ServiceCloud].counters().reads + p.gates[ServiceCloud].counters().writes,
		ListCalls:    p.gates[ServiceList].counters().reads,
		WeightCalls:  p.gates[ServiceWeights].counters().reads,
		Starts:       p.gates[ServiceCloud].counters().items,
	}
	for _, g := range p.gates {
		c := g.counters()
		counts.Throttled += c.throttled
		counts.Lost += c.lost
	}
	return counts
}

// tally holds the counters of one service.
type tally struct {
	reads, writes, items, throttled, lost uint64
}

// gate is the fault injector of one service; it also counts the calls.
type gate struct {
	mu    sync.Mutex
	fault Fault
	tally tally
	// delay is the duration of every call without a fault.
	delay time.Duration
	// onStaleChange is called when stale reads are switched on or off.
	onStaleChange func(on bool)
}

func (g *gate) counters() tally {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tally
}
