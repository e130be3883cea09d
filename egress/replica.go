package egress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

const (
	// probeTimeout bounds the connection of a probe. A replica that can be reached accepts
	// one in some milliseconds.
	probeTimeout = 150 * time.Millisecond
	// probeInterval is the time between two probes of a replica.
	probeInterval = 300 * time.Millisecond
)

// Replica is the client of a replica. It sends requests over this instance's own path or,
// while that is down, through a peer. It implements zinniamast.Replica.
type Replica struct {
	egress *Egress
	id     string
	direct zinniamast.Replica

	mu sync.Mutex
	// isDown reports whether the last connection that this instance tried has failed.
	isDown    bool
	isProbing bool
	probedAt  time.Time
	// diagnosis is the one in progress, or the last one.
	diagnosis *diagnosis
	// heardAt is when data of the replica last arrived.
	heardAt time.Time
}

var _ zinniamast.Replica = (*Replica)(nil)

// Replica returns the client of a replica that direct sends requests to.
func (e *Egress) Replica(id string, direct zinniamast.Replica) *Replica {
	return &Replica{
		egress: e,
		id:     id,
		direct: direct,
	}
}

// Close implements zinniamast.Replica.
func (r *Replica) Close() { r.direct.Close() }

// Send implements zinniamast.Replica. A request is relayed only if no byte of it was sent to
// the replica. If no peer takes it, it fails at once while other replicas answer, and otherwise
// the path is tried although it seems down.
func (r *Replica) Send(ctx context.Context, request *http.Request) (*http.Response, error) {
	upstream := r.egress.config.Upstreams.Get(r.id)
	if upstream == nil {
		return r.direct.Send(ctx, request)
	}
	l := r.egress.link(upstream.Instance.Service)
	relayFirst := r.shouldRelay(l)
	if relayFirst {
		r.startProbe(l, upstream)
		if response, sent, err := r.relay(ctx, l, upstream, request); sent {
			return response, err
		}
		if !l.checkDown() {
			return nil, r.unreachable()
		}
	}
	response, err := r.sendDirect(ctx, l, upstream, request)
	if relayFirst || !isDialFailure(err) || ctx.Err() != nil || !l.isSuspect() {
		return response, err
	}
	if relayed, sent, relayErr := r.relay(ctx, l, upstream, request); sent {
		return relayed, relayErr
	}
	return nil, err
}

// errUnreachable is the cause of a send that was not tried.
var errUnreachable = errors.New("egress: neither this instance nor its peers can connect to the replica")

// unreachable returns the error of a send that was not tried.
func (r *Replica) unreachable() *zinniamast.UpstreamError {
	return &zinniamast.UpstreamError{
		Failure:  zinniamast.FailureDial,
		Upstream: r.id,
		Cause:    errUnreachable,
	}
}

// shouldRelay reports whether a request is to be relayed without trying the path.
func (r *Replica) shouldRelay(l *link) bool {
	return r.isPathDown(l) || l.checkDown()
}

// isPathDown reports whether this instance's path to the replica seems down. If it is the
// only one, the replica has more likely crashed.
func (r *Replica) isPathDown(l *link) bool {
	return r.hasFailed() && l.isSuspect()
}

// hasFailed reports whether the last connection that this instance tried has failed.
func (r *Replica) hasFailed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isDown
}

// relay sends a request through a peer. An answer proves that the replica can be reached from
// elsewhere, so that waiting for those over this instance's own paths is in vain.
func (r *Replica) relay(ctx context.Context, l *link, upstream *blackboard.Upstream, request *http.Request) (response *http.Response, sent bool, err error) {
	response, sent, err = r.egress.relay(ctx, upstream, request)
	if sent && err == nil {
		l.abandon(r.id)
	}
	return response, sent, err
}

// sendDirect sends a request over this instance's own path.
func (r *Replica) sendDirect(ctx context.Context, l *link, upstream *blackboard.Upstream, request *http.Request) (*http.Response, error) {
	if zinniamast.IsRepeatable(ctx) {
		abandonable, end := l.await(ctx, r.id)
		defer end()
		ctx = abandonable
	}
	watch := r.watchAnswer(l, upstream)
	defer watch.stop()
	start := time.Now()
	response, err := r.direct.Send(ctx, request)
	if err != nil {
		if isDialFailure(err) && (ctx.Err() == nil || time.Since(start) >= probeTimeout) {
			r.recordFailure(l)
		}
		return nil, r.pathFailure(ctx, l, upstream, err)
	}
	r.recordAnswer(l)
	response.Body = &watchedBody{
		ReadCloser: response.Body,
		ctx:        ctx,
		replica:    r,
		link:       l,
		upstream:   upstream,
	}
	return response, nil
}

// pathFailure returns the error of a send, which differs if this instance's path was at fault.
func (r *Replica) pathFailure(ctx context.Context, l *link, upstream *blackboard.Upstream, err error) error {
	failure := zinniamast.AsUpstreamError(err)
	isAbandoned := errors.Is(context.Cause(ctx), errAbandoned) && !isDialFailure(err)
	isReset := failure != nil && failure.Failure == zinniamast.FailureReset && ctx.Err() == nil
	if !isAbandoned && !(isReset && r.isPathAtFault(l, upstream)) {
		return err
	}
	return &zinniamast.UpstreamError{
		Failure:  zinniamast.FailurePath,
		Upstream: r.id,
		Cause:    fmt.Errorf("%w: %w", zinniamast.ErrPathLost, err),
	}
}

// recordFailure records that the replica could not be connected to.
func (r *Replica) recordFailure(l *link) {
	r.mu.Lock()
	wasDown := r.isDown
	r.isDown = true
	r.mu.Unlock()
	l.recordFailure(r.id)
	if !wasDown {
		r.direct.Close()
		r.egress.config.Logger.Info("path to replica down", "replica", r.id, "service", l.service)
	}
}

// recordAnswer records that the replica answered a request or a probe.
func (r *Replica) recordAnswer(l *link) {
	r.mu.Lock()
	wasDown := r.isDown
	r.isDown = false
	r.heardAt = time.Now()
	r.mu.Unlock()
	l.recordAnswer(r.id)
	if wasDown {
		r.egress.config.Logger.Info("path to replica up again", "replica", r.id, "service", l.service)
	}
}

// startProbe tries to connect to the replica in the background, unless that was done just
// now.
func (r *Replica) startProbe(l *link, upstream *blackboard.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isProbing || time.Since(r.probedAt) < probeInterval {
		return
	}
	r.isProbing = true
	go r.probe(l, upstream)
}

func (r *Replica) probe(l *link, upstream *blackboard.Upstream) {
	r.connects(context.Background(), l, upstream)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isProbing = false
	r.probedAt = time.Now()
}

// connects tries to connect to the replica and records whether that succeeded.
func (r *Replica) connects(ctx context.Context, l *link, upstream *blackboard.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if r.egress.config.Probe(ctx, upstream) != nil {
		r.recordFailure(l)
		return false
	}
	r.recordAnswer(l)
	return true
}

// recordData records that data of the replica arrived.
func (r *Replica) recordData(l *link) {
	r.mu.Lock()
	r.heardAt = time.Now()
	r.mu.Unlock()
	l.recordData()
}

// silentFor returns the time since data of the replica arrived.
func (r *Replica) silentFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.heardAt)
}

// watchedBody records that data arrives, and whose fault it is if the answer breaks off.
type watchedBody struct {
	io.ReadCloser
	ctx      context.Context
	replica  *Replica
	link     *link
	upstream *blackboard.Upstream
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.replica.recordData(b.link)
	}
	if err != nil && err != io.EOF && b.ctx.Err() == nil && b.replica.isPathAtFault(b.link, b.upstream) {
		err = fmt.Errorf("%w: %w", zinniamast.ErrPathLost, err)
	}
	return n, err
}

// answerWatch probes a replica while a request waits for the start of its answer, if either
// no replica of the service sends anything or other paths seem down. A replica alone that is
// silent is more likely busy.
type answerWatch struct {
	replica  *Replica
	link     *link
	upstream *blackboard.Upstream

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// watchAnswer starts a watch, which must be stopped.
func (r *Replica) watchAnswer(l *link, upstream *blackboard.Upstream) *answerWatch {
	w := &answerWatch{
		replica:  r,
		link:     l,
		upstream: upstream,
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(silenceTimeout, w.expire)
	return w
}

func (w *answerWatch) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if w.replica.silentFor() >= silenceTimeout && (w.link.isSilent() || w.link.isSuspect()) {
		w.replica.startProbe(w.link, w.upstream)
	}
	w.timer.Reset(silenceTimeout)
}

func (w *answerWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// isDialFailure reports whether a send failed before a byte of it was sent.
func isDialFailure(err error) bool {
	failure := zinniamast.AsUpstreamError(err)
	return failure != nil && failure.Failure == zinniamast.FailureDial
}
