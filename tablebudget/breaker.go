package tablebudget

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/looplab/fsm"

	"zinniamast"
)

// States and events of the breaker.
const (
	stateClosed = "closed"
	stateOpen   = "open"

	eventTrip    = "trip"
	eventRecover = "recover"
)

// Threshold and probe intervals of the breaker.
const (
	// failuresToTrip is the number of consecutive requests without an answer
	// that opens the breaker.
	failuresToTrip       = 3
	initialProbeInterval = 250 * time.Millisecond
	maxProbeInterval     = 5 * time.Second
)

// probeKey is the key that probes read; no item is stored under it.
var probeKey = zinniamast.Key{
	Partition: "probe",
	Sort:      "probe",
}

// breaker is a circuit breaker that keeps callers from waiting for a table that
// does not answer. While it is open, one goroutine per node probes the table at
// jittered and increasing intervals, so that 370 nodes together send at most
// about 100 requests per second and do not all resume at the same moment.
type breaker struct {
	client *Client

	mu       sync.Mutex
	machine  *fsm.FSM
	failures int
}

func newBreaker(p *Client) *breaker {
	return &breaker{
		client: p,
		machine: fsm.NewFSM(stateClosed, fsm.Events{
			{
				Name: eventTrip,
				Src:  []string{stateClosed},
				Dst:  stateOpen,
			},
			{
				Name: eventRecover,
				Src:  []string{stateOpen},
				Dst:  stateClosed,
			},
		}, fsm.Callbacks{}),
	}
}

func (b *breaker) isClosed() bool { return b.machine.Is(stateClosed) }

func (b *breaker) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
}

func (b *breaker) recordFailure() {
	b.mu.Lock()
	b.failures++
	trip := b.failures >= failuresToTrip && b.machine.Event(context.Background(), eventTrip) == nil
	b.mu.Unlock()
	if !trip {
		return
	}
	b.client.metrics.available.Set(0)
	b.client.failQueued()
	b.client.spawn(b.probe)
}

// probe reads from the table until it answers, and then closes the breaker.
func (b *breaker) probe() {
	wait := initialProbeInterval
	for {
		timer := time.NewTimer(wait/2 + rand.N(wait))
		select {
		case <-timer.C:
		case <-b.client.stop.Done():
			timer.Stop()
			return
		}
		if b.isTableAnswering() {
			b.reset()
			return
		}
		wait = min(2*wait, maxProbeInterval)
	}
}

func (b *breaker) isTableAnswering() bool {
	ctx, cancel := context.WithTimeout(b.client.stop, b.client.config.CallTimeout)
	defer cancel()
	b.client.metrics.reads.WithLabelValues("probe").Inc()
	_, err := b.client.config.Table.Get(ctx, probeKey)
	return err == nil || errors.Is(err, zinniamast.ErrNotFound)
}

func (b *breaker) reset() {
	drainBucket(b.client.reads)
	drainBucket(b.client.writes)
	b.mu.Lock()
	b.failures = 0
	_ = b.machine.Event(context.Background(), eventRecover)
	b.mu.Unlock()
	b.client.metrics.available.Set(1)
}
