package entry_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime/pprof"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"zinniamast/entry"
	"zinniamast/platform"
	"zinniamast/processtest"
	"zinniamast/standin/store"
)

var startProfiles = flag.String("start.profiles", "", "directory for a CPU profile of each phase of BenchmarkStartOfAllNodes")

const (
	// startDomains is the number of failure domains, and replicasPerNode that of replicas a node.
	startDomains    = 4
	replicasPerNode = 10
	// heartbeatInterval is how often a replica rewrites its entry.
	heartbeatInterval = 1200 * time.Millisecond
	// startPhase is the length of each measured phase.
	startPhase = 12 * time.Second
)

// BenchmarkStartOfAllNodes measures what nodes spend when all start at once, when nothing
// changes, and when all start again after all were killed. Processor time is that of the
// process, with the stand-ins of the store and the replicas; the profiles distinguish them by
// the label "role". It is not measured by go test's own clock: each phase lasts startPhase.
func BenchmarkStartOfAllNodes(b *testing.B) {
	for _, nodes := range []int{30, 100, 300} {
		b.Run(fmt.Sprintf("%d_nodes", nodes), func(b *testing.B) {
			for range b.N {
				f := newStartFleet(b, nodes)
				f.measure("start", f.launchAll)
				f.measure("rest", func() {})
				f.measure("return", func() {
					f.killAll()
					f.launchAll()
				})
				f.close()
			}
		})
	}
}

// startFleet is a fleet of nodes in this process, before replicas that only exist as entries
// in the store and share one server for their load reports.
type startFleet struct {
	b        *testing.B
	store    *store.Store
	reports  *httptest.Server
	settings []*platform.Settings
	logs     *countingHandler
	stop     func()
	running  sync.WaitGroup
	beats    context.CancelFunc
	readyIn  time.Duration
}

func newStartFleet(b *testing.B, nodes int) *startFleet {
	f := &startFleet{
		b:     b,
		store: store.New(),
		reports: httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"queued":0,"active":0,"runs":[]}`)
		})),
		logs: newCountingHandler(),
	}
	f.store.Put("op", "config", []byte(`{"version":1,
		"routes":[{"name":"r","hostname":"models.example","prefix":"/","routeType":"stream","timeoutMs":5000,"sloMs":100,"service":"svc","maxAttempts":3}],
		"services":[{"name":"svc","engine":{"slots":8,"kvCapacity":100000}}],
		"limits":{"maxBodyBytes":4096},
		"tenants":[{"name":"a","apiKeys":["ka"],"ratePerS":1000,"burst":1000},{"name":"b","apiKeys":["kb"],"ratePerS":1000,"burst":1000},
			{"name":"c","apiKeys":["kc"],"ratePerS":1000,"burst":1000},{"name":"d","apiKeys":["kd"],"ratePerS":1000,"burst":1000}]}`))
	for i := range nodes * replicasPerNode {
		f.putReplica(i)
	}
	var seeds []string
	for i := range nodes {
		s := &platform.Settings{
			Instance:       fmt.Sprintf("edge-%03d", i),
			FailureDomain:  startDomain(i),
			FailureDomains: []string{startDomain(0), startDomain(1), startDomain(2), startDomain(3)},
			Frontend:       processtest.FreeAddress(b),
			Peer:           processtest.FreeAddress(b),
			StopTimeout:    time.Millisecond,
			StoreAddress:   f.store.Address(),
			CloudAddress:   f.store.Address(),
			Bounds: platform.Bounds{
				RetryRatio:  0.2,
				RetrySlack:  20,
				RetryWindow: 10 * time.Second,
				QuotaWindow: 8 * time.Second,
				LeaseTerm:   3 * time.Second,
				UsageWindow: 5 * time.Second,
				UsageDue:    10 * time.Second,
			},
		}
		if len(seeds) < 8 {
			seeds = append(seeds, s.Peer)
		}
		f.settings = append(f.settings, s)
	}
	for _, s := range f.settings {
		s.Seeds = seeds
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.beats = cancel
	go f.beat(ctx, nodes*replicasPerNode)
	return f
}

func startDomain(i int) string { return fmt.Sprintf("domain-%d", i%startDomains) }

func (f *startFleet) putReplica(i int) {
	f.store.Put("servers", fmt.Sprintf("i-%05d", i), fmt.Appendf(nil,
		`{"service":"svc","address":%q,"zone":%q,"state":"ready","slots":8,"born":1}`,
		strings.TrimPrefix(f.reports.URL, "http://"), startDomain(i)))
}

// beat rewrites the entries of all replicas, spread evenly over each heartbeatInterval.
func (f *startFleet) beat(ctx context.Context, replicas int) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	start, written := time.Now(), 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		due := int(time.Since(start).Seconds() / heartbeatInterval.Seconds() * float64(replicas))
		for ; written < due; written++ {
			f.putReplica(written % replicas)
		}
	}
}

// launchAll starts all nodes at once, and records when all were ready.
func (f *startFleet) launchAll() {
	start := time.Now()
	var ready sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	waiting, endWait := context.WithTimeout(ctx, time.Minute)
	defer endWait()
	f.stop = cancel
	for _, s := range f.settings {
		// A stopped node leaves its readiness listener to the end of its process.
		s.Ready = processtest.FreeAddress(f.b)
		ready.Add(1)
		f.running.Go(func() {
			pprof.Do(context.Background(), pprof.Labels("role", "node"), func(context.Context) { f.run(ctx, s) })
		})
		go func() {
			defer ready.Done()
			for !isReadyAt(s.Ready) && waiting.Err() == nil {
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	ready.Wait()
	f.readyIn = time.Since(start)
}

func (f *startFleet) run(ctx context.Context, s *platform.Settings) {
	instance, err := entry.New(entry.Config{
		Settings: s,
		Logger:   slog.New(f.logs),
	})
	if err != nil {
		f.b.Error(err)
		return
	}
	if err := instance.Run(ctx); err != nil {
		f.b.Error(err)
	}
}

func isReadyAt(address string) bool {
	response, err := http.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// killAll ends all nodes without the time for an orderly stop.
func (f *startFleet) killAll() {
	f.stop()
	f.running.Wait()
}

func (f *startFleet) close() {
	f.killAll()
	f.beats()
	f.reports.Close()
	f.store.Close()
}

// measure runs a phase and reports what it cost.
func (f *startFleet) measure(phase string, begin func()) {
	nodes := len(f.settings)
	if *startProfiles != "" {
		out, err := os.Create(filepath.Join(*startProfiles, fmt.Sprintf("%s-%d.prof", phase, nodes)))
		if err != nil {
			f.b.Fatal(err)
		}
		defer out.Close()
		if err := pprof.StartCPUProfile(out); err != nil {
			f.b.Fatal(err)
		}
		defer pprof.StopCPUProfile()
	}
	start, cpu, calls := time.Now(), processorTime(), f.store.Calls()
	f.readyIn = 0
	f.logs.reset()
	begin()
	time.Sleep(time.Until(start.Add(startPhase)))
	perNode := func(amount float64) float64 { return amount / float64(nodes) }
	f.b.ReportMetric(perNode((processorTime()-cpu).Seconds()*1000), phase+"-cpu-ms/node")
	f.b.ReportMetric(perNode(float64(f.store.Calls()-calls)), phase+"-store-calls/node")
	if f.readyIn > 0 {
		f.b.ReportMetric(f.readyIn.Seconds(), phase+"-ready-s")
	}
	f.b.Logf("%s: log lines a node: %s", phase, f.logs.summary(nodes))
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// countingHandler encodes log records as the program does and counts them by message.
type countingHandler struct {
	slog.Handler
	mu     *sync.Mutex
	counts map[string]int
}

func newCountingHandler() *countingHandler {
	return &countingHandler{
		Handler: slog.NewJSONHandler(io.Discard, nil),
		mu:      &sync.Mutex{},
		counts:  map[string]int{},
	}
}

// Handle implements slog.Handler.
func (h *countingHandler) Handle(ctx context.Context, record slog.Record) error {
	h.mu.Lock()
	h.counts[record.Message]++
	h.mu.Unlock()
	return h.Handler.Handle(ctx, record)
}

func (h *countingHandler) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.counts)
}

func (h *countingHandler) summary(nodes int) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	messages := slices.SortedFunc(maps.Keys(h.counts), func(a, b string) int { return h.counts[b] - h.counts[a] })
	var parts []string
	for _, message := range messages {
		parts = append(parts, fmt.Sprintf("%s %.1f", message, float64(h.counts[message])/float64(nodes)))
	}
	return strings.Join(parts, ", ")
}
