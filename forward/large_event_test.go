package forward_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniamast/forward"
	"zinniamast/standin/replica"
)

// eventFixture is a fixture whose streams may keep few bytes of unfinished events.
type eventFixture struct {
	*fixture
	registry *prometheus.Registry
}

func newEventFixture(t *testing.T, replicas int, maxEvents int64) *eventFixture {
	f := &eventFixture{
		fixture:  newFixture(t, replicas),
		registry: prometheus.NewRegistry(),
	}
	f.config.MaxEvents = maxEvents
	f.config.Registerer = f.registry
	f.handler = forward.New(f.config)
	f.server.Config.Handler = f.handler
	return f
}

// eventBytes returns the memory that unfinished events take.
func (f *eventFixture) eventBytes() int64 {
	families, err := f.registry.Gather()
	f.is.NoErr(err)
	for _, family := range families {
		if family.GetName() == "zinniamast_forward_event_bytes" {
			return int64(family.GetMetric()[0].GetGauge().GetValue())
		}
	}
	f.is.Fail()
	return 0
}

// Guards against events without end that together take more memory than the instance has.
func TestUnfinishedEventsInMemoryAreBounded(t *testing.T) {
	const streams, bound = 60, 1 << 20
	f := newEventFixture(t, 1, bound)
	f.setBehaviour(replica.Behaviour{
		Events:    1,
		OpenEvent: 500 << 10,
	})
	var callers sync.WaitGroup
	var most int64
	ended := make(chan struct{})
	for range streams {
		callers.Go(func() { f.is.True(f.do(f.request(http.MethodGet, pathStream, "")).broken) })
	}
	go func() {
		defer close(ended)
		callers.Wait()
	}()
	for isOver := false; !isOver; {
		most = max(most, f.eventBytes())
		select {
		case <-ended:
			isOver = true
		case <-time.After(time.Millisecond):
		}
	}
	t.Logf("at most %d bytes in %d streams", most, streams)
	f.is.True(most > 0)
	f.is.True(most <= bound)
	f.is.Equal(f.eventBytes(), int64(0))
	f.is.True(len(f.log.linesWith("the event is too large")) > streams/2)
}

// Guards against a stream that keeps the memory of a large event after it was passed on.
func TestLargeEventIsPassedOnAndForgotten(t *testing.T) {
	f := newEventFixture(t, 1, 1<<20)
	f.setBehaviour(replica.Behaviour{
		Events:       2,
		EventPadding: 400 << 10,
		Gap:          600 * time.Millisecond,
	})
	request := f.request(http.MethodGet, pathStream, "")
	request.Header.Set("Zinniamast-Deadline-Ms", "5000")
	answered := make(chan reply, 1)
	go func() { answered <- f.do(request) }()
	for len(f.replicas[0].Runs()) == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond) // the second event comes after 600 ms
	f.is.Equal(f.eventBytes(), int64(0))
	got := <-answered
	f.is.Equal(got.status, http.StatusOK)
	f.is.True(!got.broken)
	f.is.Equal(strings.ReplaceAll(got.body, strings.Repeat("x", 400<<10), ""), events(2))
}

// Guards against counting an event without end as a crash of its replica, which would hold the request back.
func TestEventWithoutEndIsNoCrash(t *testing.T) {
	f := newEventFixture(t, 2, 1<<20)
	f.setBehaviour(replica.Behaviour{
		Events:    1,
		OpenEvent: 2 << 20,
	})
	for range 4 {
		f.is.True(f.do(f.request(http.MethodGet, pathResumable, "")).broken)
	}
	f.is.True(len(f.log.linesWith("the event is too large")) > 0)
	f.is.Equal(len(f.log.linesWith("replica broke off")), 0)
	f.setBehaviour(replica.Behaviour{
		Events: 4,
	})
	f.is.Equal(f.do(f.request(http.MethodGet, pathResumable, "")).body, events(4))
}
