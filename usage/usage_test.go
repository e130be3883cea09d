package usage_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/platform"
	"zinniamast/standin/duties"
	"zinniamast/standin/store"
	"zinniamast/usage"
)

// manualClock is a true-time clock that the test sets.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) Now() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now, true
}

func (c *manualClock) set(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = at
}

// manualLease is a lease that the test grants and revokes.
type manualLease struct {
	mu    sync.Mutex
	fence uint64
}

func (r *manualLease) Check(time.Duration) (uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fence == 0 {
		return 0, errors.New("not held")
	}
	return r.fence, nil
}

func (r *manualLease) set(fence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fence = fence
}

const window = 5 * time.Second

// fleet runs counters and reporters against one fake store.
type fleet struct {
	t      *testing.T
	is     *is.I
	store  *store.Store
	clock  *manualClock
	duties *duties.Duties
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{
		t:      t,
		is:     is.New(t),
		store:  store.New(),
		clock:  &manualClock{},
		duties: &duties.Duties{},
	}
	// Window 100 begins at 500 s.
	f.clock.set(time.Unix(501, 0))
	t.Cleanup(f.store.Close)
	return f
}

func (f *fleet) table() zinniamast.Table {
	return platform.NewTable(platform.NewStore(f.store.Address()))
}

// counter starts a counter, which runs until the returned function is called.
func (f *fleet) counter(node string) (*usage.Counter, func()) {
	c := usage.NewCounter(usage.CounterConfig{
		Table:  f.table(),
		Clock:  f.clock,
		Node:   node,
		Window: window,
		Logger: slog.New(slog.DiscardHandler),
	})
	return c, f.run(c.Run)
}

// reporter starts a reporter with its own lease, which runs until the returned
// function is called.
func (f *fleet) reporter() (*manualLease, func()) {
	lease := &manualLease{}
	r := usage.NewReporter(usage.ReporterConfig{
		Table:  f.table(),
		Clock:  f.clock,
		Lease:  lease,
		Duties: f.duties,
		Window: window,
		Due:    10 * time.Second,
		Logger: slog.New(slog.DiscardHandler),
	})
	return lease, f.run(r.Run)
}

func (f *fleet) run(run func(context.Context)) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		run(ctx)
	}()
	stop := func() {
		cancel()
		<-done
	}
	f.t.Cleanup(stop)
	return stop
}

// report waits until a window is reported and returns that call.
func (f *fleet) report(number int64) duties.Call {
	f.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, call := range f.duties.Calls() {
			if call.Report.Window == number {
				return call
			}
		}
	}
	f.t.Fatalf("window %d was not reported", number)
	return duties.Call{}
}

// A node counts requests and stops a second later, before the window ends. Its
// counts are included in the report, because they are in the table.
func TestCountsSurviveNodeFailure(t *testing.T) {
	f := newFleet(t)
	killed, kill := f.counter("node-1")
	other, stopOther := f.counter("node-2")
	for range 3 {
		killed.CountStarted("acme")
	}
	other.CountStarted("acme")
	other.CountStarted("zeta")
	time.Sleep(1600 * time.Millisecond) // each node writes about once a second
	kill()
	f.clock.set(time.Unix(505, 0))
	stopOther()
	lease, _ := f.reporter()
	lease.set(1)
	f.clock.set(time.Unix(512, 0))
	call := f.report(100)
	f.is.Equal(call.Report.Counts, map[string]int{"acme": 4, "zeta": 1})
	f.is.Equal(call.Fence, uint64(1))
}

// remoteCollector forwards counts to another node's counter; a dead node returns
// an error.
type remoteCollector struct {
	counter *usage.Counter
	dead    *atomic.Bool
}

func (h remoteCollector) Collect(_ context.Context, counts usage.Counts) error {
	if h.dead.Load() {
		return errors.New("no answer")
	}
	return h.counter.Collect(counts)
}

// A node sends its counts to the writer of its failure domain. The writer fails,
// the node writes its own counts for a moment and then sends them to the next
// writer; then the node stops too. Items written by three nodes contain its
// counts, and the report counts each request once.
func TestCountsSurviveWriterFailure(t *testing.T) {
	f := newFleet(t)
	first, killFirst := f.counter("writer-1")
	next, _ := f.counter("writer-2")
	var dead atomic.Bool
	var writer atomic.Value
	writer.Store(remoteCollector{
		counter: first,
		dead:    &dead,
	})
	c := usage.NewCounter(usage.CounterConfig{
		Table:   f.table(),
		Clock:   f.clock,
		Node:    "node",
		Window:  window,
		Writers: func() []usage.Collector { return []usage.Collector{writer.Load().(remoteCollector)} },
		Logger:  slog.New(slog.DiscardHandler),
	})
	kill := f.run(c.Run)
	c.CountStarted("acme")
	time.Sleep(2500 * time.Millisecond)
	dead.Store(true)
	killFirst()
	c.CountStarted("acme")
	f.clock.set(time.Unix(503, 0))
	time.Sleep(1500 * time.Millisecond)
	writer.Store(remoteCollector{
		counter: next,
		dead:    &atomic.Bool{},
	})
	c.CountStarted("acme")
	f.clock.set(time.Unix(504, 0))
	time.Sleep(2500 * time.Millisecond)
	kill()
	lease, _ := f.reporter()
	lease.set(1)
	f.clock.set(time.Unix(512, 0))
	f.is.Equal(f.report(100).Report.Counts, map[string]int{"acme": 3})
}

// Only the writer is cut off from the store, and the nodes of its failure domain
// keep sending counts to it. A window's report would then lack the requests of that
// failure domain, a fifth of all. The writer must reject the counts, so that the
// nodes write them.
func TestWriterWithoutStoreRejectsCounts(t *testing.T) {
	f := newFleet(t)
	writer := usage.NewCounter(usage.CounterConfig{
		Table:  platform.NewTable(platform.NewStore("127.0.0.1:1")),
		Clock:  f.clock,
		Node:   "writer",
		Window: window,
		Logger: slog.New(slog.DiscardHandler),
	})
	f.run(writer.Run)
	handed := remoteCollector{
		counter: writer,
		dead:    &atomic.Bool{},
	}
	c := usage.NewCounter(usage.CounterConfig{
		Table:   f.table(),
		Clock:   f.clock,
		Node:    "node",
		Window:  window,
		Writers: func() []usage.Collector { return []usage.Collector{handed} },
		Logger:  slog.New(slog.DiscardHandler),
	})
	f.run(c.Run)
	c.CountStarted("acme")
	time.Sleep(3500 * time.Millisecond)
	lease, _ := f.reporter()
	lease.set(1)
	f.clock.set(time.Unix(512, 0))
	f.is.Equal(f.report(100).Report.Counts, map[string]int{"acme": 1})
}

// A lease holder sends a report and loses the lease; afterwards a late count
// arrives. The next holder sends the same report again and never a different one.
func TestSuccessorSendsSameReport(t *testing.T) {
	f := newFleet(t)
	c, stop := f.counter("node-1")
	c.CountStarted("acme")
	time.Sleep(1200 * time.Millisecond)
	f.clock.set(time.Unix(512, 0))
	lease, _ := f.reporter()
	lease.set(1)
	first := f.report(100)
	lease.set(0)
	f.clock.set(time.Unix(504, 0))
	c.CountStarted("acme")
	f.clock.set(time.Unix(512, 0))
	stop()
	next, _ := f.reporter()
	next.set(2)
	deadline := time.Now().Add(3 * time.Second)
	for time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	again := 0
	for _, call := range f.duties.Calls() {
		if call.Report.Window == 100 {
			again++
			f.is.Equal(call.Report.Counts, first.Report.Counts)
		}
	}
	f.is.True(again >= 2)
}

// The cloud is unavailable for a while. The report is sent when it recovers.
func TestReportsAfterCloudOutage(t *testing.T) {
	f := newFleet(t)
	c, stop := f.counter("node-1")
	c.CountStarted("acme")
	time.Sleep(1200 * time.Millisecond)
	stop()
	f.duties.Fail(zinniamast.ErrUnavailable)
	f.clock.set(time.Unix(512, 0))
	lease, _ := f.reporter()
	lease.set(1)
	time.Sleep(time.Second)
	f.is.Equal(len(f.duties.Calls()), 0)
	f.duties.Fail(nil)
	f.is.Equal(f.report(100).Report.Counts, map[string]int{"acme": 1})
}

// The store applies writes, but their responses are lost. The report contains
// each of the node's requests exactly once.
func TestLostWriteResponsesCountOnce(t *testing.T) {
	f := newFleet(t)
	c, stop := f.counter("node-1")
	f.store.SetFault(store.Fault{
		LoseWriteAnswers: true,
	})
	c.CountStarted("acme")
	time.Sleep(2500 * time.Millisecond)
	f.store.SetFault(store.Fault{})
	c.CountStarted("acme")
	stop()
	lease, _ := f.reporter()
	lease.set(1)
	f.clock.set(time.Unix(512, 0))
	f.is.Equal(f.report(100).Report.Counts, map[string]int{"acme": 2})
}

// TestNextWriterTakesOver guards against a whole domain that writes counts for its writer.
func TestNextWriterTakesOver(t *testing.T) {
	f := newFleet(t)
	lost := usage.NewCounter(usage.CounterConfig{
		Table:  platform.NewTable(platform.NewStore("127.0.0.1:1")),
		Clock:  f.clock,
		Node:   "writer",
		Window: window,
		Logger: slog.New(slog.DiscardHandler),
	})
	f.run(lost.Run)
	time.Sleep(1500 * time.Millisecond)
	writers := []usage.Collector{
		remoteCollector{
			counter: lost,
			dead:    &atomic.Bool{},
		},
	}
	next := usage.NewCounter(usage.CounterConfig{
		Table:   f.table(),
		Clock:   f.clock,
		Node:    "next",
		Window:  window,
		Writers: func() []usage.Collector { return writers },
		Logger:  slog.New(slog.DiscardHandler),
	})
	f.run(next.Run)
	behind := append(writers, remoteCollector{
		counter: next,
		dead:    &atomic.Bool{},
	})
	c := usage.NewCounter(usage.CounterConfig{
		// The node cannot write to the table itself.
		Table:   platform.NewTable(platform.NewStore("127.0.0.1:1")),
		Clock:   f.clock,
		Node:    "node",
		Window:  window,
		Writers: func() []usage.Collector { return behind },
		Logger:  slog.New(slog.DiscardHandler),
	})
	f.run(c.Run)
	c.CountStarted("acme")
	next.CountStarted("acme")
	time.Sleep(3500 * time.Millisecond)
	lease, _ := f.reporter()
	lease.set(1)
	f.clock.set(time.Unix(512, 0))
	f.is.Equal(f.report(100).Report.Counts, map[string]int{"acme": 2})
}
