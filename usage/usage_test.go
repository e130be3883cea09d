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

// handClock is true time as the test sets it.
type handClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *handClock) Now() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now, true
}

func (c *handClock) set(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = at
}

// right is a lease that the test gives and takes away.
type right struct {
	mu    sync.Mutex
	fence uint64
}

func (r *right) Check(time.Duration) (uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fence == 0 {
		return 0, errors.New("not held")
	}
	return r.fence, nil
}

func (r *right) set(fence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fence = fence
}

const window = 5 * time.Second

// fleet is counters and reporters on one stand-in store.
type fleet struct {
	t      *testing.T
	is     *is.I
	store  *store.Store
	clock  *handClock
	duties *duties.Duties
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{
		t:      t,
		is:     is.New(t),
		store:  store.New(),
		clock:  &handClock{},
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

// counter runs a counter until the returned function is called.
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

// reporter runs a reporter with a lease of its own.
func (f *fleet) reporter() (*right, func()) {
	lease := &right{}
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

// report waits for the report of a window.
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

// A node counts requests and is killed a second later, before the window ends.
// Its counts are in the report: they were in the table.
func TestCountsOutliveTheirNode(t *testing.T) {
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

// handedTo hands counts to another node; a dead one takes none.
type handedTo struct {
	counter *usage.Counter
	dead    *atomic.Bool
}

func (h handedTo) Collect(_ context.Context, counts usage.Counts) error {
	if h.dead.Load() {
		return errors.New("no answer")
	}
	return h.counter.Collect(counts)
}

// A node hands its counts to the writer of its failure domain. The writer is
// killed, the node writes itself for a moment and hands them to the next
// writer; then it is killed too. Its counts stand in items of three nodes, and
// each request is in the report once.
func TestCountsOutliveTheirWriter(t *testing.T) {
	f := newFleet(t)
	first, killFirst := f.counter("writer-1")
	next, _ := f.counter("writer-2")
	var dead atomic.Bool
	var writer atomic.Value
	writer.Store(handedTo{
		counter: first,
		dead:    &dead,
	})
	c := usage.NewCounter(usage.CounterConfig{
		Table:  f.table(),
		Clock:  f.clock,
		Node:   "node",
		Window: window,
		Writer: func() usage.Collector { return writer.Load().(handedTo) },
		Logger: slog.New(slog.DiscardHandler),
	})
	kill := f.run(c.Run)
	c.CountStarted("acme")
	time.Sleep(2500 * time.Millisecond)
	dead.Store(true)
	killFirst()
	c.CountStarted("acme")
	f.clock.set(time.Unix(503, 0))
	time.Sleep(1500 * time.Millisecond)
	writer.Store(handedTo{
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

// What the platform sees: a window's report lacks a fifth of the requests, those
// of one failure domain. Its writer alone is cut off from the store while its
// nodes go on handing their counts to it. It refuses them now, and they write.
func TestWriterWithoutTheStoreTakesNoCounts(t *testing.T) {
	f := newFleet(t)
	writer := usage.NewCounter(usage.CounterConfig{
		Table:  platform.NewTable(platform.NewStore("127.0.0.1:1")),
		Clock:  f.clock,
		Node:   "writer",
		Window: window,
		Logger: slog.New(slog.DiscardHandler),
	})
	f.run(writer.Run)
	handed := handedTo{
		counter: writer,
		dead:    &atomic.Bool{},
	}
	c := usage.NewCounter(usage.CounterConfig{
		Table:  f.table(),
		Clock:  f.clock,
		Node:   "node",
		Window: window,
		Writer: func() usage.Collector { return handed },
		Logger: slog.New(slog.DiscardHandler),
	})
	f.run(c.Run)
	c.CountStarted("acme")
	time.Sleep(3500 * time.Millisecond)
	lease, _ := f.reporter()
	lease.set(1)
	f.clock.set(time.Unix(512, 0))
	f.is.Equal(f.report(100).Report.Counts, map[string]int{"acme": 1})
}

// A holder sends a report and loses the duty; afterwards a late count arrives.
// Its successor sends the same report again and never another one.
func TestSuccessorSendsTheSame(t *testing.T) {
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

// The cloud does not answer for a while. The report comes when it does.
func TestReportsWhenTheCloudReturns(t *testing.T) {
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

// The store takes writes and loses the answers. The node's counts stand once
// and whole.
func TestLostAnswers(t *testing.T) {
	f := newFleet(t)
	c, stop := f.counter("node-1")
	f.store.SetFault(store.Fault{
		LoseWrites: true,
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
