package overload_test

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast/overload"
)

// The work of an instance on its processor: to accept a connection, to close one unread, to
// read and forward a request, and to forward one event of its answer.
const (
	acceptWork  = 200 * time.Microsecond
	refuseWork  = 200 * time.Microsecond
	requestWork = 3 * time.Millisecond
	eventWork   = 400 * time.Microsecond

	events     = 10
	eventPause = 100 * time.Millisecond
	// firstEventTarget is when a caller wants its first event, and patience how long it waits
	// for its request to be read.
	firstEventTarget = 800 * time.Millisecond
	patience         = time.Second
)

// processor runs the work of goroutines one after the other.
type processor struct {
	mu   sync.Mutex
	free time.Time
}

// use waits for the processor and uses it for a time.
func (p *processor) use(work time.Duration) { p.start(work, func() {}) }

// start is use with a function that is called when the work begins.
func (p *processor) start(work time.Duration, begins func()) {
	p.mu.Lock()
	if now := time.Now(); p.free.Before(now) {
		p.free = now
	}
	from := p.free
	p.free = p.free.Add(work)
	p.mu.Unlock()
	time.Sleep(time.Until(from))
	begins()
	time.Sleep(work)
}

// instance is an instance that gets new connections.
type instance struct {
	processor processor
	gate      *overload.Gate

	mu sync.Mutex
	// refused counts the connections closed unread, abandoned those whose callers left before
	// their requests were read, and read the others. inTime counts those with the first event
	// and all others in time.
	refused, abandoned, read, inTime int
}

// admit accepts a connection; a nil gate takes all.
func (n *instance) admit() (isRead func(), ok bool) {
	if n.gate == nil {
		return func() {}, true
	}
	ticket, ok := n.gate.Admit()
	if !ok {
		return nil, false
	}
	return ticket.Read, true
}

// count increments a counter.
func (n *instance) count(counter *int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	*counter++
}

// serve serves the request of a connection.
func (n *instance) serve(connected time.Time, isRead func()) {
	isAbandoned := false
	n.processor.start(requestWork, func() {
		isRead()
		isAbandoned = time.Since(connected) > patience
	})
	if isAbandoned {
		n.count(&n.abandoned)
		return
	}
	n.count(&n.read)
	isInTime := true
	for event := range events {
		due := time.Now().Add(eventPause)
		time.Sleep(eventPause)
		n.processor.use(eventWork)
		late := time.Since(due)
		if event == 0 && time.Since(connected) > firstEventTarget || late > 4*eventPause {
			isInTime = false
		}
	}
	if isInTime {
		n.count(&n.inTime)
	}
}

// play lets connections come at a rate for a time.
func (n *instance) play(perSecond int, length time.Duration) {
	var done sync.WaitGroup
	backlog := make(chan time.Time, 1024)
	done.Go(func() {
		for connected := range backlog {
			// The accepting goroutine gets its turn after all that is ready, and then takes all
			// connections that are there.
			n.processor.use(0)
			batch := []time.Time{connected}
			for range len(backlog) {
				batch = append(batch, <-backlog)
			}
			n.processor.use(time.Duration(len(batch)) * acceptWork)
			var refusals time.Duration
			for _, connected := range batch {
				isRead, ok := n.admit()
				if !ok {
					refusals += refuseWork
					n.count(&n.refused)
					continue
				}
				done.Go(func() { n.serve(connected, isRead) })
			}
			n.processor.use(refusals)
		}
	})
	pause := time.Second / time.Duration(perSecond)
	for start := time.Now(); time.Since(start) < length; time.Sleep(pause) {
		select {
		case backlog <- time.Now():
		default: // The kernel drops it.
		}
	}
	close(backlog)
	done.Wait()
}

// capacity is the number of requests a second that use the processor up.
const capacity = int(time.Second / (acceptWork + requestWork + events*eventWork))

func newGate() *overload.Gate {
	return overload.NewGate(overload.Config{
		Logger: slog.New(slog.DiscardHandler),
	})
}

// Guards against an instance that reads more requests than it serves once most new connections come to it.
func TestRequestsThatAreReadAreServedUnderOverload(t *testing.T) {
	const length = 10 * time.Second
	for _, times := range []int{2, 6, 12} {
		t.Run(fmt.Sprint(times, " times"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playOverload(t, times, length) })
		})
	}
}

// playOverload plays an instance that gets more new connections than it can serve, by a factor.
func playOverload(t *testing.T, times int, length time.Duration) {
	is := is.New(t)
	n := &instance{
		gate: newGate(),
	}
	n.play(times*capacity, length)
	t.Logf("%d times the capacity of %d a second: %d refused, %d abandoned, %d read, %d in time", times, capacity, n.refused, n.abandoned, n.read, n.inTime)
	is.True(n.abandoned == 0)
	is.True(float64(n.inTime) >= 0.95*float64(n.read)) // what is read is served
	left := length - time.Duration(n.refused)*(acceptWork+refuseWork)
	is.True(float64(n.inTime) >= 0.8*float64(capacity)*left.Seconds()) // it refuses no more than it has to
}

// Guards against refusing connections that the instance could serve.
func TestNothingIsRefusedBelowCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &instance{
			gate: newGate(),
		}
		n.play(capacity*4/5, 10*time.Second)
		is.Equal(n.refused, 0)
		is.Equal(n.inTime, n.read)
	})
}

// Guards against refusing callers because the process was paused for a moment.
func TestNothingIsRefusedAfterPause(t *testing.T) {
	cases := []struct {
		pause     time.Duration
		perSecond int
	}{
		{
			pause:     150 * time.Millisecond,
			perSecond: capacity / 2,
		},
		{
			pause:     time.Second,
			perSecond: capacity / 10,
		},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := &instance{
				gate: newGate(),
			}
			go func() {
				for range 3 {
					time.Sleep(2 * time.Second)
					n.processor.use(c.pause)
				}
			}()
			n.play(c.perSecond, 10*time.Second)
			is.Equal(n.refused, 0)
		})
	}
}

// Guards against an instance that goes on refusing after an overload.
func TestConnectionsAreTakenAgainAfterOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &instance{
			gate: newGate(),
		}
		n.play(12*capacity, 5*time.Second)
		time.Sleep(time.Second)
		refused := n.refused
		n.play(capacity/2, 5*time.Second)
		is.Equal(n.refused, refused)
	})
}

// Guards against a refused caller that waits, or whose request was read.
func TestRefusedConnectionIsResetUnread(t *testing.T) {
	is := is.New(t)
	gate := overload.NewGate(overload.Config{
		MaxWaiting: 1,
		Logger:     slog.New(slog.DiscardHandler),
	})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := overload.NewListener(inner, gate)
	defer listener.Close()
	held, ok := gate.Admit()
	is.True(ok)
	server := &http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
	}
	defer server.Close()
	go func() { _ = server.Serve(listener) }()
	get := func() error {
		client := &http.Client{
			Transport: &http.Transport{
				DisableKeepAlives: true,
			},
			Timeout: 2 * time.Second,
		}
		response, err := client.Get("http://" + inner.Addr().String())
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, response.Body)
		return response.Body.Close()
	}
	start := time.Now()
	is.True(get() != nil)
	is.True(time.Since(start) < time.Second)
	held.Read()
	is.NoErr(get())
}
