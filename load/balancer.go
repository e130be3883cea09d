package load

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"
)

// downPeriod is how long a target is skipped after a try on it failed without a response.
const downPeriod = 500 * time.Millisecond

// maxRefusalBytes bounds how much of an error's body is read.
const maxRefusalBytes = 64 << 10

// balancer sends each try to the next target, like the load balancer of the
// platform, so that a retry may reach any node.
type balancer struct {
	targets   []*url.URL
	down      []atomic.Int64
	next      atomic.Uint64
	transport http.RoundTripper
}

func newBalancer(bases []string, inFlight int, idleTimeout time.Duration) (*balancer, error) {
	b := &balancer{
		down: make([]atomic.Int64, len(bases)),
		transport: &idleTimeoutTransport{
			transport: &http.Transport{
				MaxIdleConnsPerHost: inFlight,
				IdleConnTimeout:     30 * time.Second,
			},
			timeout: idleTimeout,
		},
	}
	for _, base := range bases {
		parsed, err := url.Parse(base)
		if err != nil {
			return nil, err
		}
		b.targets = append(b.targets, parsed)
	}
	return b, nil
}

// pick returns the index of the next target that is not marked as down, or of
// the next one if all are.
func (b *balancer) pick() int {
	count := uint64(len(b.targets))
	first := b.next.Add(1)
	now := time.Now().UnixNano()
	for i := range count {
		at := int((first + i) % count)
		if b.down[at].Load() < now {
			return at
		}
	}
	return int(first % count)
}

// RoundTrip implements http.RoundTripper and records the node's reply in the
// reply log of the request's context.
func (b *balancer) RoundTrip(request *http.Request) (*http.Response, error) {
	at := b.pick()
	target := b.targets[at]
	out := request.Clone(request.Context())
	out.URL.Scheme = target.Scheme
	out.URL.Host = target.Host
	out.Host = target.Host
	replies := replyLogOf(request.Context())
	response, err := b.transport.RoundTrip(out)
	if err != nil {
		b.down[at].Store(time.Now().Add(downPeriod).UnixNano())
		replies.add(nil)
		return nil, err
	}
	if response.StatusCode < http.StatusBadRequest {
		// This counts as no reply unless the answer is complete or contains an error.
		replies.add(nil)
		return response, nil
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	_ = response.Body.Close()
	if err != nil {
		replies.add(nil)
		return nil, err
	}
	response.Body = io.NopCloser(bytes.NewReader(raw))
	nodeRefusal, ok := parseRefusal(raw)
	if ok {
		nodeRefusal.readRetryAfter(response.Header)
		replies.add(nodeRefusal)
	}
	return response, nil
}

// reply is the reply of a node to one try; refusal is nil if there was none.
type reply struct {
	refusal *refusal
	at      time.Time
}

// replyLog collects the replies to the tries of one request.
type replyLog struct {
	mu      sync.Mutex
	replies []reply
}

func (l *replyLog) add(nodeRefusal *refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replies = append(l.replies, reply{
		refusal: nodeRefusal,
		at:      time.Now(),
	})
}

// replaceLast replaces the last reply by the refusal that its answer contained.
func (l *replyLog) replaceLast(nodeRefusal *refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.replies) > 0 {
		l.replies[len(l.replies)-1] = reply{
			refusal: nodeRefusal,
			at:      time.Now(),
		}
	}
}

// list returns the replies so far.
func (l *replyLog) list() []reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.replies
}

type replyLogKey struct{}

func withReplyLog(ctx context.Context, l *replyLog) context.Context {
	return context.WithValue(ctx, replyLogKey{}, l)
}

// replyLogOf returns the reply log of a context, or a new one that is discarded.
func replyLogOf(ctx context.Context) *replyLog {
	if l, ok := ctx.Value(replyLogKey{}).(*replyLog); ok {
		return l
	}
	return &replyLog{}
}
