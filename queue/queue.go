// Package queue holds requests that no replica has a place for now, and decides which of them
// gets the next one.
//
// A full replica rejects requests, and each rejection costs a retry. Therefore a request waits at
// its node, bound to no replica, until a request of the node ends at a replica or another replica
// may have a place. One lock guards all state; it is never held during a call to another process.
package queue

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniamast"
)

// Config configures a Queue.
type Config struct {
	// Node is this instance's name, and Gossip tells the demand of the nodes to each other; nil
	// means a single node.
	Node   string
	Gossip zinniamast.Gossip
	// Slots returns the number of requests that the replicas of a service run at once; zero means
	// that it is unknown. The places are divided in the order of the classes if it is known.
	Slots func(service string) int
	// Usage is what the organisations have used of each service at all nodes; nil counts this
	// node's own requests alone.
	Usage Usage
	// MaxWaiting and MaxBytes bound the requests that wait and the size of their bodies; zero
	// means 1,024 and 8 MB.
	MaxWaiting int
	MaxBytes   int64
	// Logger logs when requests of a service begin and cease to wait; nil logs nothing.
	Logger *slog.Logger
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
}

// Usage is the work that organisations were given, in seconds at a replica.
type Usage interface {
	// Add adds work that an organisation was given at a service; a negative amount corrects an
	// earlier one.
	Add(service, organisation string, work float64)
	// Used returns the recent work of an organisation at a service, divided by its weight.
	Used(service, organisation string) float64
}

const (
	defaultMaxWaiting = 1024
	defaultMaxBytes   = 8 << 20
)

// Request describes a request to a Queue.
type Request struct {
	Service      string
	Organisation string
	// Priority is the class; lower numbers go first. Numbers outside of 0 to 9 count as the
	// nearest of these.
	Priority int
	// Deadline orders the requests of an organisation.
	Deadline time.Time
	// StartBy is the time until which the request may wait. If it is zero, the request never
	// waits.
	StartBy time.Time
	// Bytes is the size of the request's body.
	Bytes int
}

// Turn lets a waiting request look for a replica.
type Turn struct {
	// Replica is the replica at which a request of this node has just ended; empty if the
	// request may look at any replica that is not known to be full.
	Replica string
}

// Queue holds the requests of one node that wait.
type Queue struct {
	config  Config
	metrics *metrics
	// isLocal reports whether the usage is that of this node alone.
	isLocal bool

	mu       sync.Mutex
	services map[string]*service
	waiting  int
	bytes    int64
	sequence uint64
	// labels holds the organisations that have a metric label of their own.
	labels map[string]bool
	// nextReport is the earliest time of the next report of this node's demand.
	nextReport time.Time
	// reportInterval is the time between two reports of this node, as of the last one.
	reportInterval time.Duration
}

// New returns an empty queue.
func New(config Config) *Queue {
	isLocal := config.Usage == nil
	if isLocal {
		config.Usage = NewLocalUsage()
	}
	if config.Slots == nil {
		config.Slots = func(string) int { return 0 }
	}
	if config.MaxWaiting <= 0 {
		config.MaxWaiting = defaultMaxWaiting
	}
	if config.MaxBytes <= 0 {
		config.MaxBytes = defaultMaxBytes
	}
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	q := &Queue{
		config:   config,
		isLocal:  isLocal,
		metrics:  newMetrics(config.Registerer),
		services: map[string]*service{},
		labels:   map[string]bool{},
	}
	if config.Gossip != nil {
		config.Gossip.Subscribe(zinniamast.TopicQueue, q.receiveDemand)
	}
	return q
}

// Entry is a request in a Queue. Its methods are called by one goroutine at a time.
type Entry struct {
	queue   *Queue
	service *service
	request Request
	class   int

	// The queue's lock guards the fields below.
	sequence uint64
	// granted receives the end of a wait.
	granted chan grant
	// turn is the last turn, and hasTurn reports whether no request was sent on it yet.
	turn    Turn
	hasTurn bool
	// isTrial reports whether the last send was a trial.
	isTrial bool
	// passed is the replica whose place the entry could not use, and round the last round in
	// which it looked for a replica.
	passed string
	round  uint64
	// wait is how the request has waited.
	wait  wait
	began time.Time
	// charged is the work that was added to the organisation's usage.
	charged float64
}

// grant is the end of a wait: a turn or a refusal.
type grant struct {
	turn    Turn
	refusal *zinniamast.Refusal
}

// Enter counts a request that arrives. The entry is reset and must not be copied.
func (q *Queue) Enter(e *Entry, request Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.service(request.Service)
	q.sequence++
	*e = Entry{
		queue:    q,
		service:  s,
		request:  request,
		class:    classOf(request.Priority),
		sequence: q.sequence,
	}
	now := time.Now()
	s.classes[e.class].arrived.add(1, now)
	s.classes[e.class].asked.add(1, now)
	if s.firstAt.IsZero() {
		s.firstAt = now
	}
	if !s.shortSince.IsZero() {
		q.publishDemand(now)
	}
}

// service returns the state of a service; the caller holds the lock.
func (q *Queue) service(name string) *service {
	s, ok := q.services[name]
	if !ok {
		s = newService(q, name)
		q.services[name] = s
	}
	return s
}

// OthersWait reports whether requests of the entry's service wait, so that this one has to wait
// as well.
func (e *Entry) OthersWait() bool {
	e.queue.mu.Lock()
	defer e.queue.mu.Unlock()
	return e.service.waiting > 0
}

// Left returns how long the request may wait; zero if not at all.
func (e *Entry) Left() time.Duration { return max(0, time.Until(e.request.StartBy)) }

// Wait waits for the request's turn. The error is a *zinniamast.Refusal, or that of the context.
// If no request was sent on the last turn, that turn goes to another request.
func (e *Entry) Wait(ctx context.Context) (Turn, error) {
	began := time.Now()
	if refusal := e.join(began); refusal != nil {
		return Turn{}, refusal
	}
	timer := time.NewTimer(e.request.StartBy.Sub(began))
	defer timer.Stop()
	var g grant
	select {
	case g = <-e.granted:
	case <-timer.C:
		g = e.stopWaiting()
	case <-ctx.Done():
		g = e.stopWaiting()
	}
	e.recordWaited(time.Since(began))
	if err := ctx.Err(); err != nil {
		e.Leave()
		return Turn{}, err
	}
	if g.refusal != nil {
		return Turn{}, g.refusal
	}
	return g.turn, nil
}

// join lets the entry wait, unless it is known that it would wait in vain.
func (e *Entry) join(now time.Time) *zinniamast.Refusal {
	q, s := e.queue, e.service
	q.mu.Lock()
	defer q.mu.Unlock()
	s.passOn(e)
	if e.granted == nil {
		e.granted = make(chan grant, 1)
	}
	switch {
	case !now.Before(e.request.StartBy):
		return s.refusal(e, now, causeNotInTime)
	case q.waiting >= q.config.MaxWaiting || q.bytes+int64(e.request.Bytes) > q.config.MaxBytes:
		return s.refusal(e, now, causeQueueFull)
	case s.waitsInVain(e, now):
		return s.refusal(e, now, causeTooManyAhead)
	}
	s.insert(e, now)
	return nil
}

// stopWaiting ends a wait that has had no turn. A turn that was given at the same moment counts.
func (e *Entry) stopWaiting() grant {
	q, s := e.queue, e.service
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case g := <-e.granted:
		return g
	default:
	}
	s.remove(e)
	return grant{
		refusal: s.refusal(e, time.Now(), causeNotInTime),
	}
}

// Leave passes a turn on which no request was sent on to another request.
func (e *Entry) Leave() {
	e.queue.mu.Lock()
	defer e.queue.mu.Unlock()
	e.service.passOn(e)
}

// Sent records that the request is sent to a replica.
func (e *Entry) Sent() {
	e.queue.mu.Lock()
	defer e.queue.mu.Unlock()
	if !e.hasTurn {
		return
	}
	e.hasTurn = false
	if e.turn.Replica == "" {
		e.service.grantLook() // there may be another place
	}
}

// Began records that a replica has taken the request.
func (e *Entry) Began() {
	e.queue.mu.Lock()
	defer e.queue.mu.Unlock()
	if !e.began.IsZero() {
		return
	}
	s := e.service
	e.began = time.Now()
	e.charged = s.meanWork
	s.starts.add(e.began)
	if e.isTrial {
		e.isTrial = false
		s.trialInterval, s.trialAt = 0, e.began
	}
	if e.granted != nil && e.turn.Replica == "" {
		s.foundAt = e.began
	}
	s.classes[e.class].served.add(1, e.began)
	s.classes[e.class].begun++
	e.queue.config.Usage.Add(s.name, e.request.Organisation, e.charged)
}

// Ended records that the request has ended.
func (e *Entry) Ended() {
	e.queue.mu.Lock()
	defer e.queue.mu.Unlock()
	if e.began.IsZero() {
		return
	}
	took := time.Since(e.began).Seconds()
	s := e.service
	s.ended++
	s.meanWork += max(meanWorkWeight, 1/float64(s.ended)) * (took - s.meanWork)
	e.queue.config.Usage.Add(e.service.name, e.request.Organisation, took-e.charged)
	e.began, e.charged = time.Time{}, took
}

// IsShort reports whether requests wait for the service, or have waited lately.
func (q *Queue) IsShort(name string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.service(name).shortSince.IsZero()
}

// IsShortAnywhere reports whether requests wait for the service, or have waited lately, at this node
// or at another one that has told so.
func (q *Queue) IsShortAnywhere(name string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.service(name).tellsDemand(time.Now())
}

// IsAnyShort reports whether the nodes share the places of any service now: requests wait or have
// waited lately, at this node or at another one that has told so.
func (q *Queue) IsAnyShort() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for _, s := range q.services {
		if s.tellsDemand(now) {
			return true
		}
	}
	return false
}

// Freed records that a request has ended at a replica. The next request gets its place if this
// node keeps it.
func (q *Queue) Freed(name, replica string, keeps bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.service(name)
	now := time.Now()
	s.ends.add(now)
	if keeps {
		s.grantFreed(replica, nil)
	}
}

// classCount is the number of classes.
const classCount = 10

// classOf returns the class of a priority.
func classOf(priority int) int { return min(max(priority, 0), classCount-1) }

// The retry times of refusals. Forecasts further ahead are unreliable.
const (
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// retrySpread is the part of a retry time by which those of several requests differ, so
	// that they do not return at once.
	retrySpread = 0.25
)

// refusal returns the refusal of a request that cannot have a place in time, with the forecast
// of when requests of its class have one.
func (s *service) refusal(e *Entry, now time.Time, cause refusalCause) *zinniamast.Refusal {
	s.recordRefusal(e, cause, now)
	wait := min(max(s.expectedWait(e, now), minRetryAfter), maxRetryAfter)
	spread := retrySpread * math.Mod(float64(e.sequence)*goldenRatio, 1)
	return zinniamast.Refuse(zinniamast.ReasonNoCapacity, "%s", cause.message()).
		WithRetryAfter(time.Duration(float64(wait) * (1 + spread)))
}

// goldenRatio spreads consecutive multiples evenly between whole numbers.
const goldenRatio = 0.618033988749895
