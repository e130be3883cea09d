package forward

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"runtime/debug"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/zeebo/xxh3"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/canary"
	"zinniamast/origin"
	"zinniamast/prefix"
	"zinniamast/quarantine"
	"zinniamast/queue"
	"zinniamast/routes"
)

// RetryBudget bounds the retries sent to a service by all nodes together.
type RetryBudget interface {
	// Started counts the first send of a request.
	Started(service string)
	// AllowRetry reports whether one more retry may be sent, and counts it if so.
	AllowRetry(service string) bool
	// RetryWait returns the time until one more retry is expected to be allowed; zero if
	// it is allowed now. It returns false if that is not expected at all.
	RetryWait(service string) (wait time.Duration, ok bool)
	// AwaitRetry waits until one more retry may be sent, and counts it. It returns false
	// as soon as that is no longer expected by the given time, and when ctx ends.
	AwaitRetry(ctx context.Context, service string, by time.Time) bool
}

// HedgeBudget bounds the second sends of requests whose first send is only late.
type HedgeBudget interface {
	// AllowHedge reports whether one more such send may be made, and counts it if so.
	AllowHedge(service string) bool
}

// Allowance limits the requests or tokens of each organisation over all nodes.
type Allowance interface {
	// Take takes the amount of a request from the organisation's allowance. If too
	// little is left for a request of this rank, it returns false and the time until
	// enough is available. The most urgent rank is 0.
	Take(ctx context.Context, organisation *routes.Organisation, amount float64, rank int) (wait time.Duration, ok bool)
}

// Throttle limits the requests to replicas that say that they bear only few.
type Throttle interface {
	// Limited returns which replicas of a service may get a request now.
	Limited(service string) zinniamast.Availability
	// Begin begins an attempt at a replica, which the caller ends with EndAttempt. It returns
	// false if the replica may not get the request after all.
	Begin(upstream *blackboard.Upstream) bool
	// Answered records what a replica said of itself in its answer to a request that was sent
	// at the given time.
	Answered(upstream *blackboard.Upstream, sent time.Time, feedback zinniamast.Feedback)
	// KeepsPlace reports whether another request of this node may have the place of one that has
	// just ended at a replica.
	KeepsPlace(upstream *blackboard.Upstream) bool
	// UnusedPlaces returns the replicas at which this node has places that it does not use. It
	// returns false if this node has too few places to be bound to them.
	UnusedPlaces(service string) (replicas []string, ok bool)
	// Shared returns the replicas of a service at which this node is bound to its part of the
	// places.
	Shared(service string) []string
	// AnsweredThroughPeer is Answered for a request that was sent through another node's place.
	AnsweredThroughPeer(upstream *blackboard.Upstream, sent time.Time, feedback zinniamast.Feedback)
}

// Meter counts requests that began to run, for the usage reports.
type Meter interface {
	// CountStarted counts one request of the organisation.
	CountStarted(organisation string)
}

// Demand records the load of requests that this node receives.
type Demand interface {
	// RequestStarted counts a request for a service that starts, and RequestEnded one that ends.
	RequestStarted(service string, promptTokens int)
	RequestEnded(service string)
	// AddWork adds the predicted compute time of a request on its replica; zero if it
	// is unknown.
	AddWork(service string, work time.Duration)
}

// Origins knows at which software version each stream began.
type Origins interface {
	// Began records that a replica of a software version began a stream, or went on with it.
	Began(service, stream, version string)
	// Ended forgets a stream whose caller has received all of it.
	Ended(stream string)
	// Find returns the software version at which a stream began; false if it is not known.
	Find(ctx context.Context, service, stream string) (version string, ok bool)
}

// Config configures a Handler.
type Config struct {
	Routes    *routes.Table
	Upstreams *blackboard.Upstreams
	// FailureDomain is the failure domain of this node.
	FailureDomain string
	Router        zinniamast.Router
	Protocol      Protocol
	RetryBudget   RetryBudget
	// Hedges bounds the hedges of late streams; nil means that there are none.
	Hedges     HedgeBudget
	Allowance  Allowance
	Throttle   Throttle
	Quarantine zinniamast.Quarantine
	// Parts holds back requests by the parts of their prompts; nil means that this node alone
	// finds those that crash replicas.
	Parts zinniamast.PartQuarantine
	// Origins are the origins of streams; nil means that this node alone serves them.
	Origins Origins
	// Rollouts are the rollouts of software versions; nil means that there are none.
	Rollouts Rollouts
	// Detours sends requests that have no place here through other nodes; nil means none.
	Detours Detours
	// Queue holds the requests that no replica has a place for; nil means one of this node alone.
	Queue  *queue.Queue
	Meter  Meter
	Demand Demand
	// Closing reports whether the node is stopping and refuses new requests.
	Closing func() bool
	// MaxBodies bounds the bodies of all requests in memory, in bytes, with those that are relayed for
	// other nodes; zero means that nothing does.
	MaxBodies int64
	// MaxEvents bounds the unfinished events of all streams in memory, in bytes, beside a small
	// buffer of each stream; zero means that nothing does.
	MaxEvents int64
	// Stopping reports whether the node is about to stop. Each connection is then
	// closed after its next answer.
	Stopping func() bool
	// StopsAt returns when a stopping node aborts the requests that still run, and the zero time
	// while it is not stopping; nil means that it aborts none.
	StopsAt func() time.Time
	Logger  *slog.Logger
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
}

// Handler forwards callers' requests to replicas. It implements http.Handler.
type Handler struct {
	config  Config
	metrics *metrics
	bodies  memoryBudget
	events  memoryBudget
}

// New returns a handler.
func New(config Config) *Handler {
	if config.Origins == nil {
		config.Origins = origin.New(origin.Config{
			Upstreams: config.Upstreams,
		})
	}
	if config.Rollouts == nil {
		config.Rollouts = canary.New(canary.Config{
			Upstreams: config.Upstreams,
		})
	}
	if config.Parts == nil {
		config.Parts = quarantine.NewParts(quarantine.PartsConfig{})
	}
	if config.Detours == nil {
		config.Detours = noDetours{}
	}
	if config.Queue == nil {
		config.Queue = queue.New(queue.Config{})
	}
	if config.StopsAt == nil {
		config.StopsAt = func() time.Time { return time.Time{} }
	}
	h := &Handler{
		config:  config,
		metrics: newMetrics(config.Registerer),
		bodies: memoryBudget{
			limit: config.MaxBodies,
		},
		events: memoryBudget{
			limit: config.MaxEvents,
		},
	}
	h.registerMemory()
	return h
}

// registerMemory registers the gauges of what requests keep in memory.
func (h *Handler) registerMemory() {
	factory := promauto.With(h.config.Registerer)
	factory.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "zinniamast_forward_body_bytes",
		Help: "Memory that the bodies of requests in progress take.",
	}, func() float64 { return float64(h.bodies.used.Load()) })
	factory.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "zinniamast_forward_event_bytes",
		Help: "Memory that unfinished events of streams take beyond their small buffers.",
	}, func() float64 { return float64(h.events.used.Load()) })
}

// defaultTimeout applies if neither the caller nor the route sets a timeout.
const defaultTimeout = 30 * time.Second

// startingRetryAfter is the retry delay sent by a node that has no configuration
// yet; it usually has one by then.
const startingRetryAfter = 500 * time.Millisecond

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	// A chunked request may also contain a Content-Length, which net/http drops in
	// favour of the chunks. A proxy that uses the length instead sees another end of
	// the body (request smuggling), so the connection is closed and the bytes that
	// follow on it are not read.
	if h.config.Stopping() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	defer h.reportPanic(r)
	c, refusal := h.admit(r, arrived)
	defer c.memory.release()
	if refusal == nil && h.config.Closing() {
		refusal = refusalOfStop()
	}
	if refusal == nil {
		refusal = h.checkStop(c)
	}
	if refusal == nil {
		refusal = h.readBody(w, r, c)
	}
	if refusal == nil {
		refusal = h.findOrigin(r.Context(), c)
	}
	if refusal == nil {
		refusal = h.allow(c)
	}
	if refusal != nil {
		h.refuse(w, c, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	h.run(ctx, w, c)
}

// reportPanic logs a panic other than http.ErrAbortHandler, which closes a
// connection on purpose: net/http reports a panic only at debug level, and the
// caller sees nothing but a closed connection. The panic continues as
// http.ErrAbortHandler.
func (h *Handler) reportPanic(r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		h.metrics.brokenOff.WithLabelValues(reasonPanic).Inc()
		h.logPanic(h.config.Protocol.ReadRequest(r.Header).ID, cause)
	}
	panic(http.ErrAbortHandler)
}

// logPanic logs a panic that was recovered while a request was handled.
func (h *Handler) logPanic(request string, cause any) {
	h.config.Logger.Error("handler panicked", "request", request, "cause", cause, "stack", string(debug.Stack()))
}

// reasonPanic is the metric label of connections closed by a panic in the handler.
const reasonPanic = "panic"

// call is the state of one caller's request.
type call struct {
	request  *http.Request
	metadata RequestMetadata
	arrived  time.Time
	// deadline is the time by which the caller gets an answer or a refusal.
	deadline     time.Time
	route        *routes.Route
	service      string
	organisation *routes.Organisation
	limits       routes.Limits
	// configVersion is the version of the configuration that applies to the request.
	configVersion int64
	priority      int
	body          []byte
	// memory is what the body takes of the memory for bodies.
	memory      reservation
	fingerprint uint64
	// parts are the IDs of the parts of the prompt that other prompts may share.
	parts []uint64
	// isSuspect reports whether the request or a part of its prompt is suspected of crashing
	// replicas.
	isSuspect bool
	prefix    []uint64
	// resumes reports whether the caller has events of the stream, which a replica of the
	// software version began.
	resumes bool
	version string
	// selection is what a rollout leaves of the replicas for the next send.
	selection canary.Selection

	// sendsStarted counts the sends so far. The counts below contain those that have
	// ended.
	sendsStarted int
	// sends counts the sends that may have run, and avoid lists the replicas that
	// must not get the request again.
	sends int
	avoid []string
	// arrivals counts the sends that reached a replica, whether or not they ran, and
	// dials the failed connection attempts.
	arrivals int
	dials    int
	// detours counts the nodes that were asked for a place.
	detours int
	// ran tells whether the request has run, judging by all sends so far.
	ran   zinniamast.Ran
	place place
	// owesRetry reports whether the next send must be charged to the retry budget.
	owesRetry bool
	// metSilence reports whether a replica was silent since the last event. resumeWaits
	// counts the waits before a resumption since then, up to maxResumeDoublings, and
	// resumeAt is the end of the last one.
	metSilence  bool
	resumeWaits int
	resumeAt    time.Time
	// failure is the failure of the last send; nil if no send has failed.
	failure *zinniamast.UpstreamError
	// startRecorded reports whether the start of the answer was recorded, and
	// timeToFirst is the time from the request's arrival to its first event.
	startRecorded bool
	timeToFirst   time.Duration
	// failedAnswer is a server error from a replica. The caller gets it if no other
	// replica answers.
	failedAnswer *bufferedAnswer
}

// admit determines the route, organisation, service, priority and deadline of a
// request, or refuses it.
func (h *Handler) admit(r *http.Request, arrived time.Time) (*call, *zinniamast.Refusal) {
	c := &call{
		request: r,
		memory: reservation{
			budget: &h.bodies,
		},
		metadata: h.config.Protocol.ReadRequest(r.Header),
		arrived:  arrived,
		ran:      zinniamast.NotRun,
	}
	table := h.config.Routes.Current()
	if table == nil {
		return c, zinniamast.Refuse(zinniamast.ReasonStarting, "no configuration yet").WithRetryAfter(startingRetryAfter)
	}
	c.limits = table.Limits
	c.configVersion = table.Version
	c.route = table.Match(hostOf(r), routePath(r.URL))
	if c.route == nil {
		return c, zinniamast.Refuse(zinniamast.ReasonNotFound, "no route")
	}
	c.organisation = table.Organisation(c.metadata.Key)
	if len(table.Organisations) > 0 && !c.route.Anonymous && c.organisation == nil {
		return c, zinniamast.Refuse(zinniamast.ReasonUnauthorised, "unknown key")
	}
	c.service = pickService(c.route, c.stream())
	if c.service == "" {
		return c, zinniamast.Refuse(zinniamast.ReasonNoUpstream, "the route has no service").WithRetryAfter(noReplicaRetryAfter)
	}
	if len(h.config.Upstreams.Of(c.service)) == 0 {
		// The refusal comes before the request is charged to an allowance.
		return c, zinniamast.Refuse(zinniamast.ReasonNoUpstream, "no replica is known").WithRetryAfter(noReplicaRetryAfter)
	}
	c.priority = c.route.Priority
	if c.organisation != nil && c.organisation.Priority != nil {
		c.priority = *c.organisation.Priority
	}
	c.deadline = deadline(c, arrived)
	shared := sharedParts(c.metadata.Parts)
	c.prefix = prefix.HashParts(shared)
	for _, part := range shared {
		c.parts = append(c.parts, part.ID)
	}
	return c, nil
}

// sharedParts returns a prompt's parts without the last one, which only this
// request has.
//
// Requests of some hundred sessions arrive at all nodes. If the last part belonged
// to the prefix, each request would be routed to a replica of its own, and the
// requests of a session would prefill their shared parts on one replica after
// another.
func sharedParts(parts []prefix.Part) []prefix.Part {
	return parts[:max(0, len(parts)-1)]
}

// deadline returns the earlier of the caller's and the route's deadline.
func deadline(c *call, arrived time.Time) time.Time {
	timeout := c.metadata.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if c.route.Timeout > 0 {
		timeout = min(timeout, c.route.Timeout)
	}
	return arrived.Add(timeout)
}

// readBody reads the body up to the configured size and the request's deadline.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, c *call) *zinniamast.Refusal {
	if r.Body == nil || r.ContentLength == 0 {
		c.fingerprint = fingerprint(c)
		return nil
	}
	limit := c.limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		return zinniamast.Refuse(zinniamast.ReasonOversized, "the body is larger than %d bytes", limit)
	}
	if err := http.NewResponseController(w).SetReadDeadline(c.deadline); err != nil {
		h.config.Logger.Debug("failed to change the read deadline", "cause", err)
	}
	body, err := c.memory.readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if errors.Is(err, errMemoryFull) {
		return zinniamast.Refuse(zinniamast.ReasonMemoryFull, "too many bodies are in memory").WithRetryAfter(fullRetryAfter)
	}
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return zinniamast.Refuse(zinniamast.ReasonOversized, "the body is larger than %d bytes", limit)
		}
		return zinniamast.Refuse(zinniamast.ReasonMalformed, "the body cannot be read")
	}
	if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil {
		h.config.Logger.Debug("failed to change the read deadline", "cause", err)
	}
	c.body = body
	c.fingerprint = fingerprint(c)
	return nil
}

// defaultMaxBodyBytes applies if the configuration sets no limit.
const defaultMaxBodyBytes = 4 << 20

// fingerprint returns a hash of a request's content. Repeated attempts of the same
// request have the same fingerprint.
func fingerprint(c *call) uint64 {
	hash := xxh3.New()
	for _, part := range []string{c.request.Method, c.request.RequestURI, c.metadata.Key} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(c.body)
	return hash.Sum64()
}

// allow refuses quarantined requests and takes the request's amount from its
// organisation's allowance.
func (h *Handler) allow(c *call) *zinniamast.Refusal {
	if refusal := h.checkContent(c, h.config.Quarantine.Check); refusal != nil {
		return refusal
	}
	if c.organisation == nil || c.organisation.Rate <= 0 {
		return nil
	}
	amount := 1.0
	if c.organisation.ByTokens {
		amount = float64(c.organisation.UncountedTokens)
		if c.metadata.HasTokenCounts {
			amount = float64(c.metadata.PromptTokens + c.metadata.MaxTokens)
		}
	}
	wait, ok := h.config.Allowance.Take(c.request.Context(), c.organisation, amount, c.route.Priority)
	if ok {
		return nil
	}
	return zinniamast.Refuse(zinniamast.ReasonOverShare, "the allowance is used up").WithRetryAfter(wait)
}

// addAvoided adds a replica to those that must not get the request again.
func (c *call) addAvoided(id string) {
	if !slices.Contains(c.avoid, id) {
		c.avoid = append(c.avoid, id)
	}
}
