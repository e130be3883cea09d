package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/forward"
	"zinniamast/platform"
	"zinniamast/quarantine"
	"zinniamast/retry"
	"zinniamast/routes"
	"zinniamast/throttle"
)

// The times and sizes of the takeover tests. The silence timeouts follow from the
// route's targets of 150 ms and 250 ms.
const (
	callerTime       = 2500 * time.Millisecond
	firstTimeout     = 500 * time.Millisecond
	pauseTimeout     = time.Second
	replyTime        = 10 * time.Millisecond
	takeoverEvents   = 6
	eventsAtOnce     = 2
	eventsUntilBreak = 3
)

// reaction is what a replica does with a request that left a silent replica.
type reaction string

const (
	answersWell reaction = "answers well"
	unsigned    reaction = "unsigned"
	crossed     reaction = "crossed"
	full        reaction = "full"
	resets      reaction = "resets before its head"
	breaksEarly reaction = "breaks before its first event"
	breaksLater reaction = "breaks after some events"
	status500   reaction = "status 500"
	staysSilent reaction = "silent"
	pauses      reaction = "silent after one event"
)

var reactions = []reaction{answersWell, unsigned, crossed, full, resets, breaksEarly, breaksLater, status500, staysSilent}

// stage is a handler in front of scripted replicas in memory. The first send of each
// request meets a silent replica, the second one the reaction next, and each further
// one the reaction last.
type stage struct {
	*fixture
	budget *retry.Window
	start  time.Time
	// atOnce is the number of events that the silent replica sends at once, and speaks
	// is the time at which it sends the rest; zero means never.
	atOnce int
	speaks time.Duration
	next   reaction
	last   reaction
	// hedges bounds the hedges of late streams; nil means that there are none.
	hedges forward.HedgeBudget
	// goesOn is the time at which a replica with the reaction pauses sends the rest.
	goesOn time.Duration

	mu sync.Mutex
	// arrivals counts the sends of each request that reached a replica. runs counts
	// those that were not refused as full, and charges the retries that were allowed.
	arrivals map[string]int
	runs     int
	charges  int
	trace    []string
}

// Started implements forward.RetryBudget.
func (s *stage) Started(service string) { s.budget.Started(service) }

// AllowRetry implements forward.RetryBudget.
func (s *stage) AllowRetry(service string) bool {
	return s.countCharge("asked", s.budget.AllowRetry(service))
}

// RetryWait implements forward.RetryBudget.
func (s *stage) RetryWait(service string) (time.Duration, bool) { return s.budget.RetryWait(service) }

// AwaitRetry implements forward.RetryBudget.
func (s *stage) AwaitRetry(ctx context.Context, service string, by time.Time) bool {
	return s.countCharge("awaited", s.budget.AwaitRetry(ctx, service, by))
}

// countCharge counts a retry if the budget allowed it, and returns whether it did.
func (s *stage) countCharge(how string, isAllowed bool) bool {
	s.note("retry budget %s, allows: %v", how, isAllowed)
	s.mu.Lock()
	defer s.mu.Unlock()
	if isAllowed {
		s.charges++
	}
	return isAllowed
}

// Route implements zinniamast.Router. It chooses the first replica by ID.
func (s *stage) Route(request *zinniamast.RouteRequest) (zinniamast.Choice, error) {
	for _, id := range []string{"i-a", "i-b", "i-c"} {
		if !slices.Contains(request.Avoid, id) {
			return zinniamast.Choice{
				Upstream: id,
			}, nil
		}
	}
	return zinniamast.Choice{}, zinniamast.Refuse(zinniamast.ReasonNoUpstream, "no replica")
}

// Observe implements zinniamast.Router.
func (s *stage) Observe(zinniamast.Observation) {}

// Explain implements zinniamast.Router.
func (s *stage) Explain(string) string { return "" }

// note adds a line to the trace.
func (s *stage) note(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trace = append(s.trace, fmt.Sprintf("%v %s", time.Since(s.start), fmt.Sprintf(format, values...)))
}

// newStage returns a stage whose budget allows 0.85 x (started x ratio + slack)
// retries.
func newStage(t *testing.T, maxAttempts int, ratio, slack float64) *stage {
	s := &stage{
		fixture: &fixture{
			is:        is.New(t),
			routes:    &routes.Table{},
			upstreams: blackboard.NewUpstreams(),
		},
		budget: retry.NewWindow(retry.WindowConfig{
			Ratio:  ratio,
			Slack:  slack,
			Window: 10 * time.Second,
			Nodes:  func() int { return 1 },
		}),
		start:    time.Now(),
		arrivals: map[string]int{},
	}
	config := configuration()
	for i := range config.Routes {
		config.Routes[i].Timeout = time.Minute
		config.Routes[i].Target = 150 * time.Millisecond
		config.Routes[i].PauseTarget = 250 * time.Millisecond
		config.Routes[i].MaxAttempts = maxAttempts
	}
	s.routes.Apply(config)
	for _, id := range []string{"i-a", "i-b", "i-c"} {
		s.upstreams.Add(&blackboard.Upstream{
			Instance: zinniamast.Instance{
				ID:            id,
				Service:       "svc",
				FailureDomain: "domain of " + id,
				Address:       "replica.example",
				Started:       time.UnixMilli(1),
			},
			Replica: &scripted{
				stage: s,
				id:    id,
			},
			Slots: 8,
		})
	}
	s.useRouter(s)
	return s
}

// useRouter makes a new handler with a router.
func (s *stage) useRouter(router zinniamast.Router) {
	s.handler = forward.New(forward.Config{
		Routes:        s.routes,
		Upstreams:     s.upstreams,
		FailureDomain: "domain of i-a",
		Router:        router,
		Protocol:      platform.Headers{},
		RetryBudget:   s,
		Hedges:        s.hedges,
		Allowance:     s,
		Throttle: throttle.New(throttle.Config{
			Upstreams: s.upstreams,
		}),
		Quarantine: quarantine.New(quarantine.Config{
			FailureDomain: func(upstream string) string { return upstream },
		}),
		Meter:    s,
		Demand:   s,
		Closing:  s.closing.Load,
		Stopping: s.closing.Load,
		Logger:   slog.New(slog.NewTextHandler(&s.log, nil)),
	})
}

// scripted is a replica in memory.
type scripted struct {
	stage *stage
	id    string
}

// Close implements zinniamast.Replica.
func (*scripted) Close() {}

// Send implements zinniamast.Replica.
func (r *scripted) Send(ctx context.Context, request *http.Request) (*http.Response, error) {
	s := r.stage
	id := request.Header.Get("Zinniamast-Request-Id")
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	s.mu.Lock()
	s.arrivals[id]++
	isFirst := s.arrivals[id] == 1
	expected := s.last
	if s.arrivals[id] == 2 {
		expected = s.next
	}
	if isFirst || expected != full {
		s.runs++
	}
	s.mu.Unlock()
	s.note("%s goes to %s after event %d", id, r.id, after)
	context.AfterFunc(ctx, func() { s.note("%s ends at %s: %v", id, r.id, context.Cause(ctx)) })
	if isFirst {
		return r.answerFirst(ctx, request)
	}
	return r.answerNext(ctx, request, expected, after)
}

// answerFirst answers as the silent replica.
func (r *scripted) answerFirst(ctx context.Context, request *http.Request) (*http.Response, error) {
	s := r.stage
	if s.atOnce == 0 {
		if err := r.stage.waitUntil(ctx, s.speaks); err != nil {
			return nil, r.failure(zinniamast.FailureStopped, err)
		}
		return r.respond(ctx, request, http.StatusOK, wholeAnswer(0)), nil
	}
	return r.respond(ctx, request, http.StatusOK, func(w io.Writer) error {
		if err := writeEvents(w, 0, s.atOnce); err != nil {
			return err
		}
		if err := s.waitUntil(ctx, s.speaks); err != nil {
			return err
		}
		return writeEvents(w, s.atOnce, takeoverEvents)
	}), nil
}

// answerNext answers with a reaction.
func (r *scripted) answerNext(ctx context.Context, request *http.Request, expected reaction, after int) (*http.Response, error) {
	speaks := time.Since(r.stage.start) + replyTime
	if expected == staysSilent {
		speaks = 0
	}
	if err := r.stage.waitUntil(ctx, speaks); err != nil {
		return nil, r.failure(zinniamast.FailureStopped, err)
	}
	response := r.respond(ctx, request, http.StatusOK, wholeAnswer(after))
	switch expected {
	case resets:
		return nil, r.failure(zinniamast.FailureReset, io.ErrUnexpectedEOF)
	case unsigned:
		response.Header.Del("Zinniamast-Server-Stamp")
	case crossed:
		response.Header.Set("Zinniamast-Request-Id", "r-other")
	case full:
		response.Header.Set("Zinniamast-Not-Executed", "1")
		response.StatusCode = http.StatusServiceUnavailable
	case status500:
		response = r.respond(ctx, request, http.StatusInternalServerError, func(io.Writer) error { return nil })
	case breaksEarly:
		response = r.respond(ctx, request, http.StatusOK, func(w io.Writer) error {
			_, _ = io.WriteString(w, "id: ")
			return io.ErrUnexpectedEOF
		})
	case pauses:
		response = r.respond(ctx, request, http.StatusOK, func(w io.Writer) error {
			if err := writeEvents(w, after, after+1); err != nil {
				return err
			}
			if err := r.stage.waitUntil(ctx, r.stage.goesOn); err != nil {
				return err
			}
			return writeEvents(w, after+1, takeoverEvents)
		})
	case breaksLater:
		response = r.respond(ctx, request, http.StatusOK, func(w io.Writer) error {
			last := min(after+eventsUntilBreak, takeoverEvents)
			if err := writeEvents(w, after, last); err != nil || last == takeoverEvents {
				return err
			}
			_, _ = io.WriteString(w, "id: ")
			return io.ErrUnexpectedEOF
		})
	}
	return response, nil
}

// waitUntil waits until a time after the start, or without end if it is zero.
func (s *stage) waitUntil(ctx context.Context, at time.Duration) error {
	var reached <-chan time.Time
	if at > 0 {
		reached = time.After(time.Until(s.start.Add(at)))
	}
	select {
	case <-reached:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// failure returns the error of a send that got no answer.
func (r *scripted) failure(failure zinniamast.Failure, cause error) error {
	return &zinniamast.UpstreamError{
		Failure:  failure,
		Upstream: r.id,
		Cause:    cause,
	}
}

// respond returns an answer whose body is written by a function.
func (r *scripted) respond(ctx context.Context, request *http.Request, status int, write func(io.Writer) error) *http.Response {
	reader, writer := io.Pipe()
	go func() { _ = writer.CloseWithError(write(writer)) }()
	context.AfterFunc(ctx, func() { _ = writer.CloseWithError(context.Cause(ctx)) })
	header := http.Header{}
	header.Set("Zinniamast-Request-Id", request.Header.Get("Zinniamast-Request-Id"))
	header.Set("Zinniamast-Server-Stamp", "stamp-"+r.id)
	return &http.Response{
		StatusCode:    status,
		Header:        header,
		Body:          reader,
		ContentLength: -1,
	}
}

// wholeAnswer returns a function that writes the answer after an event.
func wholeAnswer(after int) func(io.Writer) error {
	return func(w io.Writer) error { return writeEvents(w, after, takeoverEvents) }
}

// writeEvents writes the events after the first number up to the second.
func writeEvents(w io.Writer, after, last int) error {
	_, err := io.WriteString(w, strings.TrimPrefix(events(last), events(after)))
	return err
}

// outcome is what the caller gets, and when.
type outcome struct {
	status int
	body   string
	broken bool
	at     time.Duration
}

// call sends a request and returns what the caller gets.
func (s *stage) call(path, id string) (o outcome) { return s.callWithPrompt(path, id, "") }

// callWithPrompt is call for a request whose prompt has parts.
func (s *stage) callWithPrompt(path, id, prompt string) (o outcome) {
	method := http.MethodPost
	if path == pathSafe {
		method = http.MethodGet
	}
	request := httptest.NewRequest(method, path, nil)
	request.Host = host
	request.Header.Set("Zinniamast-Request-Id", id)
	request.Header.Set("Zinniamast-Deadline-Ms", strconv.FormatInt(callerTime.Milliseconds(), 10))
	request.Header.Set("Api-Key", key)
	request.Header.Set("Zinniamast-Prompt-Prefix", prompt)
	recorder := httptest.NewRecorder()
	defer func() {
		cause, _ := recover().(error)
		o.broken = errors.Is(cause, http.ErrAbortHandler)
		o.status = recorder.Code
		o.body = recorder.Body.String()
		o.at = time.Since(s.start)
		s.note("%s: caller has status %d, %d events, broken off: %v", id, o.status, strings.Count(o.body, "\n\n"), o.broken)
	}()
	s.handler.ServeHTTP(recorder, request)
	return o
}

// showOnFailure logs the trace of a failed test.
func (s *stage) showOnFailure(t *testing.T) {
	if t.Failed() {
		t.Log("\n" + strings.Join(s.trace, "\n") + "\n" + strings.Join(s.log.linesWith("level=WARN"), ""))
	}
}
