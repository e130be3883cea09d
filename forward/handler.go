package forward

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/xxh3"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/prefix"
	"zinniamast/routes"
)

// Budget bounds repeated sends to a service over all nodes.
type Budget interface {
	// Started counts a request's first send.
	Started(service string)
	// Again says whether one more send may go out, and counts it.
	Again(service string) bool
}

// Allowance bounds what organisations may ask over all nodes.
type Allowance interface {
	// Take takes a request's amount; where the organisation has no more for a
	// request of its rank, it returns when it will. The most urgent rank is 0.
	Take(ctx context.Context, organisation *routes.Organisation, amount float64, rank int) (wait time.Duration, ok bool)
}

// Meter counts requests that began to run, for the usage reports.
type Meter interface {
	Began(organisation string)
}

// Demand hears what this node is asked.
type Demand interface {
	// Entered counts a request that goes to a service, and Left one that ended.
	Entered(service string, promptTokens int)
	Left(service string)
	// Sent counts the machine time that a request takes from a replica; zero where
	// it is not known.
	Sent(service string, work time.Duration)
}

// Config says what a handler works with.
type Config struct {
	Routes    *routes.Table
	Upstreams *blackboard.Upstreams
	// FailureDomain is where the node runs.
	FailureDomain string
	Router        zinniamast.Router
	Protocol      Protocol
	Budget        Budget
	Allowance     Allowance
	Quarantine    zinniamast.Quarantine
	Meter         Meter
	Demand        Demand
	// Closing says that the node stops and accepts nothing more.
	Closing func() bool
	// Stopping says that the node is about to stop: connections are closed with their next answer.
	Stopping func() bool
	Logger   *slog.Logger
	// Registerer takes the metrics; nil keeps them unregistered.
	Registerer prometheus.Registerer
}

// Handler answers callers.
type Handler struct {
	config  Config
	metrics *metrics
}

// New returns a handler.
func New(config Config) *Handler {
	return &Handler{
		config:  config,
		metrics: newMetrics(config.Registerer),
	}
}

// defaultBudget is how long a caller waits that does not say, on a route without a timeout.
const defaultBudget = 30 * time.Second

// startingRetryAfter is when a node that knows no configuration yet probably does.
const startingRetryAfter = 500 * time.Millisecond

// stoppingRetryAfter is when a caller may ask again; it will meet another node.
const stoppingRetryAfter = 50 * time.Millisecond

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	// A chunked request may have stated a length as well; net/http takes the
	// chunks and hides the length. What follows on the connection is a request to
	// one reader and a body to another, so that it is not read.
	if h.config.Stopping() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	defer h.reportPanic(r)
	c, refusal := h.admit(r, arrived)
	if refusal == nil && h.config.Closing() {
		refusal = zinniamast.Refuse(zinniamast.ReasonStopping, "this node stops").After(stoppingRetryAfter)
	}
	if refusal == nil {
		refusal = h.readBody(w, r, c)
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

// reportPanic logs a panic other than the one that closes a connection on purpose:
// net/http tells of it at debug level alone, and the caller sees a closed connection.
func (h *Handler) reportPanic(r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		h.metrics.broken.WithLabelValues(reasonPanic).Inc()
		h.config.Logger.Error("handler panicked", "request", h.config.Protocol.Ask(r.Header).ID,
			"cause", cause, "stack", string(debug.Stack()))
	}
	panic(http.ErrAbortHandler)
}

// reasonPanic labels connections closed by a panic in the handler.
const reasonPanic = "panic"

// call is one caller's request on its way.
type call struct {
	request *http.Request
	ask     Ask
	arrived time.Time
	// deadline is when the caller has an answer, whatever it is.
	deadline     time.Time
	route        *routes.Route
	service      string
	organisation *routes.Organisation
	limits       routes.Limits
	// version is that of the configuration which decides the request.
	version     int64
	priority    int
	body        []byte
	fingerprint uint64
	// alone says that the request is suspected of crashing its replicas.
	alone  bool
	prefix []uint64

	// fetchFrom is the address from which the chosen replica fetches, and cached
	// what it then holds of the prompt.
	fetchFrom string
	cached    int

	// sends counts replicas that may have run the request, and avoid names
	// those that it shall not go to again.
	sends int
	avoid []string
	// arrivals counts sends that reached a replica, run or not.
	arrivals int
	// ran is what is known of all sends so far.
	ran zinniamast.Ran
	// paid says that the budget has been charged for the next send.
	paid bool
	// moving says that the request left a silent replica and no event has come
	// since, and holds counts how often it was held meanwhile.
	moving bool
	holds  int
	// failure is that of the last send; nil if there was none.
	failure *zinniamast.UpstreamError
	// began says that its beginning to run was counted, and first is when its
	// first event came, from its arrival here.
	began bool
	first time.Duration
	// held keeps a replica's own failure, to be passed on if nothing better comes.
	held *answer
}

// admit finds the route and the organisation of a request.
func (h *Handler) admit(r *http.Request, arrived time.Time) (*call, *zinniamast.Refusal) {
	c := &call{
		request: r,
		ask:     h.config.Protocol.Ask(r.Header),
		arrived: arrived,
		ran:     zinniamast.NotRun,
	}
	table := h.config.Routes.Current()
	if table == nil {
		return c, zinniamast.Refuse(zinniamast.ReasonStarting, "no configuration yet").After(startingRetryAfter)
	}
	c.limits = table.Limits
	c.version = table.Version
	c.route = table.Match(hostOf(r), r.URL.Path)
	if c.route == nil {
		return c, zinniamast.Refuse(zinniamast.ReasonNotFound, "no route")
	}
	c.organisation = table.Organisation(c.ask.Key)
	if len(table.Organisations) > 0 && !c.route.Anonymous && c.organisation == nil {
		return c, zinniamast.Refuse(zinniamast.ReasonUnauthorised, "unknown key")
	}
	c.service = pick(c.route, c.ask.ID)
	if c.service == "" {
		return c, zinniamast.Refuse(zinniamast.ReasonNoUpstream, "the route has no service").After(noReplicaRetryAfter)
	}
	if len(h.config.Upstreams.Of(c.service)) == 0 {
		// Refused before it counts against an allowance.
		return c, zinniamast.Refuse(zinniamast.ReasonNoUpstream, "no replica is known").After(noReplicaRetryAfter)
	}
	c.priority = c.route.Priority
	if c.organisation != nil && c.organisation.Priority != nil {
		c.priority = *c.organisation.Priority
	}
	c.deadline = deadline(c, arrived)
	c.prefix = prefix.Parts(shared(c.ask.Parts))
	return c, nil
}

// shared leaves out a prompt's last part, which is the request's own.
//
// Load: requests of some hundred sessions come to all nodes. With their own part
// in the prefix each has a home of its own, and a session's requests read their
// shared parts again at one replica after the other.
func shared(parts []prefix.Part) []prefix.Part {
	return parts[:max(0, len(parts)-1)]
}

func hostOf(r *http.Request) string {
	host, _, found := strings.Cut(r.Host, ":")
	if found {
		return host
	}
	return r.Host
}

// pick draws the route's service by the request's ID, in the parts that the split gives.
func pick(r *routes.Route, id string) string {
	total := 0
	for _, share := range r.Split {
		total += max(0, share.Weight)
	}
	if total == 0 {
		if len(r.Split) > 0 {
			return r.Split[0].Service
		}
		return ""
	}
	draw := int(xxh3.HashString(id) % uint64(total))
	for _, share := range r.Split {
		draw -= max(0, share.Weight)
		if draw < 0 {
			return share.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// deadline is the earlier one of the caller's and the route's.
func deadline(c *call, arrived time.Time) time.Time {
	budget := c.ask.Budget
	if budget == 0 {
		budget = defaultBudget
	}
	if c.route.Timeout > 0 {
		budget = min(budget, c.route.Timeout)
	}
	return arrived.Add(budget)
}

// readBody reads the body within the configured bounds.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, c *call) *zinniamast.Refusal {
	if r.Body == nil || r.ContentLength == 0 {
		c.fingerprint = fingerprint(c)
		return nil
	}
	limit := c.limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if r.ContentLength > limit {
		return zinniamast.Refuse(zinniamast.ReasonOversized, "the body is larger than %d bytes", limit)
	}
	if err := http.NewResponseController(w).SetReadDeadline(c.deadline); err != nil {
		h.config.Logger.Debug("no read deadline", "cause", err)
	}
	body, err := readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return zinniamast.Refuse(zinniamast.ReasonOversized, "the body is larger than %d bytes", limit)
		}
		return zinniamast.Refuse(zinniamast.ReasonMalformed, "the body cannot be read")
	}
	if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil {
		h.config.Logger.Debug("no read deadline", "cause", err)
	}
	c.body = body
	c.fingerprint = fingerprint(c)
	return nil
}

// defaultMaxBody holds where the configuration gives no bound.
const defaultMaxBody = 4 << 20

// readAll reads a body of a known length into one buffer of that size.
func readAll(body io.Reader, length int64) ([]byte, error) {
	if length <= 0 {
		return io.ReadAll(body)
	}
	buffer := make([]byte, length)
	_, err := io.ReadFull(body, buffer)
	return buffer, err
}

// fingerprint names the content of a request, whoever's attempt it is.
func fingerprint(c *call) uint64 {
	hash := xxh3.New()
	for _, part := range []string{c.request.Method, c.request.RequestURI, c.ask.Key} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(c.body)
	return hash.Sum64()
}

// allow takes the request's amount from its organisation's allowance.
func (h *Handler) allow(c *call) *zinniamast.Refusal {
	alone, err := h.config.Quarantine.Check(c.fingerprint)
	if err != nil {
		return zinniamast.AsRefusal(err)
	}
	c.alone = alone
	if c.organisation == nil || c.organisation.Rate <= 0 {
		return nil
	}
	amount := 1.0
	if c.organisation.ByTokens {
		amount = float64(c.organisation.UncountedTokens)
		if c.ask.Counted {
			amount = float64(c.ask.PromptTokens + c.ask.MaxTokens)
		}
	}
	wait, ok := h.config.Allowance.Take(c.request.Context(), c.organisation, amount, c.route.Priority)
	if ok {
		return nil
	}
	return zinniamast.Refuse(zinniamast.ReasonOverShare, "the allowance is used up").After(wait)
}

// refuse answers a request that this node ends itself.
func (h *Handler) refuse(w http.ResponseWriter, c *call, refusal *zinniamast.Refusal) {
	status := statusOf(refusal)
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if refusal.RetryAfter > 0 && refusal.Ran == zinniamast.NotRun {
		header.Set("Retry-After", h.config.Protocol.RetryAfter(refusal.RetryAfter))
	}
	if status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge {
		header.Set("Connection", "close")
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, refusal.Message+"\n")
	h.metrics.refused.WithLabelValues(string(refusal.Reason)).Inc()
	h.config.Logger.Warn("refused", "request", c.ask.ID, "status", status, "reason", refusal.Reason,
		"ran", refusal.Ran, "service", c.service, "config", c.version, "arrivals", c.arrivals, "avoid", c.avoid,
		"cause", c.cause(),
		"retry_after", refusal.RetryAfter, "elapsed", time.Since(c.arrived).Round(time.Millisecond))
}

// statusOf gives the status that a refusal may have. 429 and 503 promise that
// the request has not run and never will; what may have run is answered 502,
// or 504 where its time is up, which promise nothing.
func statusOf(refusal *zinniamast.Refusal) int {
	status := refusal.Status()
	promises := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	if promises && refusal.Ran != zinniamast.NotRun {
		return http.StatusBadGateway
	}
	if status == http.StatusUnprocessableEntity {
		return http.StatusBadGateway
	}
	return status
}

// hopByHop are headers that concern one connection only.
var hopByHop = []string{
	"Connection",
	"Proxy-Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Expect",
}

// dropHopByHop removes headers of one connection, also those that it names itself.
func dropHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// avoids adds a replica to those that the request shall not go to again.
func (c *call) avoids(id string) {
	if !slices.Contains(c.avoid, id) {
		c.avoid = append(c.avoid, id)
	}
}
