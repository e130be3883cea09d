package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

// fragile is a replica that crashes when it runs certain requests.
type fragile struct {
	fleet  *fleet
	id     string
	domain string
	// speed is a multiple of the reference speed.
	speed   float64
	started time.Time

	// The fleet's lock guards running, isDown, limit and received.
	running int
	isDown  bool
	// limit is the rate that the replica names in its answers; zero names none.
	limit float64
	// received holds the times at which requests reached the replica, and rejected those at
	// which it had no slot for one.
	received []time.Duration
	rejected []time.Duration
	// crashed is closed when the replica crashes.
	crashed chan struct{}
}

// startReplica starts a replica in a failure domain and lists it at all nodes.
func (f *fleet) startReplica(domain string) {
	f.mu.Lock()
	f.started++
	r := &fragile{
		fleet:   f,
		id:      fmt.Sprint("i-", f.started),
		domain:  domain,
		speed:   1,
		started: time.Now(),
		crashed: make(chan struct{}),
	}
	if speeds := f.config.speeds; len(speeds) > 0 {
		r.speed = speeds[(f.started-1)%len(speeds)]
	}
	f.replicas = append(f.replicas, r)
	f.mu.Unlock()
	for _, n := range f.currentNodes() {
		n.list(r)
	}
}

// list lists a replica at the node.
func (n *fleetNode) list(r *fragile) {
	n.board.Upstreams.Add(&blackboard.Upstream{
		Instance: zinniamast.Instance{
			ID:            r.id,
			Service:       "svc",
			FailureDomain: r.domain,
			Address:       "replica.example",
			Started:       r.started,
		},
		Replica: n.newClient(r),
		Slots:   n.fleet.config.slots,
	})
}

// culprit returns what lets a request crash its replica: its content or a part of its prompt;
// empty if nothing does.
func (f *fleet) culprit(content, prompt string) string {
	if slices.Contains(f.config.contents, content) {
		return content
	}
	for _, part := range f.config.parts {
		if strings.Contains(prompt, part+":") {
			return part
		}
	}
	return ""
}

// crash crashes the replica, which is delisted and replaced later.
func (r *fragile) crash(content string) {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.isDown {
		return
	}
	r.isDown = true
	close(r.crashed)
	f.crashes[content] = append(f.crashes[content], time.Since(f.start))
	time.AfterFunc(delistTime, func() {
		for _, n := range f.currentNodes() {
			n.board.Upstreams.Remove(r.id)
		}
	})
	if !f.config.hasNoReplacements {
		time.AfterFunc(replaceTime, func() { f.startReplica(r.domain) })
	}
}

// Close implements zinniamast.Replica.
func (*fragile) Close() {}

// begin takes a slot for a request, unless the replica is down or full.
func (r *fragile) begin(request, culprit string) error {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.isDown {
		return &zinniamast.UpstreamError{
			Failure:  zinniamast.FailureDial,
			Upstream: r.id,
			Cause:    errors.New("connection refused"),
		}
	}
	r.received = append(r.received, time.Since(f.start))
	if f.onArrival != nil {
		f.onArrival(request)
	}
	if culprit != "" {
		f.arrivals[culprit] = append(f.arrivals[culprit], time.Since(f.start))
	}
	if f.rest != nil && slices.Contains(f.rest.shedding, r.id) {
		return errShed
	}
	if r.running >= f.slots {
		r.rejected = append(r.rejected, time.Since(f.start))
		return errFull
	}
	r.running++
	f.begun[request]++
	return nil
}

// setLimit sets the rate that the replica names from now on.
func (r *fragile) setLimit(limit float64) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.limit = limit
}

func (r *fragile) namedLimit() float64 {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return r.limit
}

// brittleFall is the culprit of replicas that failed as they had to reject too much.
const brittleFall = "rejections"

// setBrittleness sets how all replicas behave from now on.
func (f *fleet) setBrittleness(b *brittleness, slots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.brittle, f.slots = b, slots
}

// namedBrittleness returns the rejections that the replica says it bears; false if it says
// nothing.
func (r *fragile) namedBrittleness() (int, bool) {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.brittle == nil || f.brittle.isSturdy {
		return 0, false
	}
	return f.brittle.rejections, true
}

// failsUnderRejections reports whether the replica is brittle and has rejected more in the
// last second than it bears.
func (r *fragile) failsUnderRejections() bool {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.brittle == nil || f.brittle.isSturdy {
		return false
	}
	count := 0
	for _, at := range r.rejected {
		if time.Since(f.start)-at < time.Second {
			count++
		}
	}
	return count > f.brittle.rejections
}

var errFull = errors.New("no slot is free")

// end releases a slot.
func (r *fragile) end() {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.running--
}

// Send implements zinniamast.Replica.
func (r *fragile) Send(ctx context.Context, request *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	content, duration, _ := strings.Cut(string(body), " ")
	header := http.Header{}
	header.Set("Zinniamast-Request-Id", request.Header.Get("Zinniamast-Request-Id"))
	culprit := r.fleet.culprit(content, request.Header.Get("Zinniamast-Prompt-Prefix"))
	r.countInRests(ctx)
	err = r.begin(request.Header.Get("Zinniamast-Request-Id"), culprit)
	if limit := r.namedLimit(); limit > 0 {
		header.Set("Server-Limit", fmt.Sprint(limit))
	}
	if rejections, ok := r.namedBrittleness(); ok {
		header.Set("Server-Brittle", fmt.Sprint(rejections))
	}
	if err == errFull && r.failsUnderRejections() {
		r.crash(brittleFall)
		return nil, &zinniamast.UpstreamError{
			Failure:  zinniamast.FailureReset,
			Upstream: r.id,
			Cause:    io.ErrUnexpectedEOF,
		}
	}
	if err == errFull || err == errShed {
		header.Set("Zinniamast-Not-Executed", "1")
		if rest := r.askForRest(ctx, err); rest > 0 {
			header.Set("Retry-After", fmt.Sprint(rest.Seconds()))
		}
		return &http.Response{
			StatusCode: http.StatusServiceUnavailable,
			Header:     header,
			Body:       http.NoBody,
		}, nil
	}
	if err != nil {
		return nil, err
	}
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	milliseconds, _ := strconv.Atoi(duration)
	reader, writer := io.Pipe()
	context.AfterFunc(ctx, func() { _ = writer.CloseWithError(context.Cause(ctx)) })
	go func() {
		defer r.end()
		_ = writer.CloseWithError(r.run(ctx, writer, culprit, after, r.timeFor(time.Duration(milliseconds)*time.Millisecond)))
	}()
	header.Set("Zinniamast-Server-Stamp", "stamp-"+r.id)
	return &http.Response{
		StatusCode:    http.StatusOK,
		Header:        header,
		Body:          reader,
		ContentLength: -1,
	}, nil
}

// timeFor returns the time that the replica takes for a request of a duration at the reference speed.
func (r *fragile) timeFor(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) / r.speed)
}

// run writes the events after a number, spread over a duration, unless the replica crashes.
func (r *fragile) run(ctx context.Context, w io.Writer, culprit string, after int, duration time.Duration) error {
	pause := duration / takeoverEvents
	isPoison := culprit != ""
	if isPoison {
		pause = poisonRunTime
	}
	for event := after; event < takeoverEvents; event++ {
		select {
		case <-time.After(pause):
		case <-r.crashed:
			return io.ErrUnexpectedEOF
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		if isPoison {
			r.crash(culprit)
			return io.ErrUnexpectedEOF
		}
		if err := writeEvents(w, event, event+1); err != nil {
			return err
		}
	}
	return nil
}
