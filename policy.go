package zinniamast

import "time"

// Router chooses the upstream of each attempt.
type Router interface {
	// Route chooses an upstream; its errors are *Refusal.
	Route(need *Need) (Choice, error)
	// Observe tells what an attempt did; it is called from many goroutines.
	Observe(observation Observation)
	// Explain says in a few lines why a recent request went where it went.
	Explain(request string) string
}

// Need is what one attempt asks of an upstream.
type Need struct {
	// Request is the request's ID, for Explain.
	Request string
	// Service is the model deployment or plain service.
	Service string
	// Organisation is the caller's.
	Organisation string
	// Class is the priority class and Priority its number; lower runs first.
	Class    string
	Priority int
	// PromptTokens is the prompt's length, about.
	PromptTokens int
	// Produced is how many tokens of the answer exist already.
	Produced int
	// MaxTokens bounds the whole answer.
	MaxTokens int
	// Prefix holds hashes of the prompt's leading blocks, shortest first, as
	// package prefix computes them.
	Prefix []uint64
	// Deadline is when the answer is worthless.
	Deadline time.Time
	// FirstTokenTarget and BetweenTokensTarget are the latency target.
	FirstTokenTarget    time.Duration
	BetweenTokensTarget time.Duration
	// Avoid lists upstreams that have failed this request.
	Avoid []string
	// Alone asks for a replica with nothing else of value on it, for a suspect request.
	Alone bool
}

// Choice is where an attempt goes.
type Choice struct {
	// Upstream is the upstream's ID.
	Upstream string
	// FirstToken and BetweenTokens are the predictions the choice rests on.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// CachedTokens is how much of the prompt the replica probably holds, with what
	// it is to fetch.
	CachedTokens int
	// Work is the machine time that the attempt's prompt takes at a replica of the
	// usual speed; zero where that is not known yet.
	Work time.Duration
	// FetchFrom is the upstream from which it shall fetch what it does not hold of
	// the prompt; empty if from none.
	FetchFrom string
}

// ObservationKind says what was observed.
type ObservationKind int

// What the request path reports to the router.
const (
	// ObservedStart comes when an attempt is sent.
	ObservedStart ObservationKind = iota
	// ObservedFirstToken comes with the first token; Elapsed counts from the start.
	ObservedFirstToken
	// ObservedEnd comes when an attempt ends; Elapsed counts from the first token.
	ObservedEnd
)

// UnknownCached stands for a count of cached tokens that the engine does not tell.
const UnknownCached = -1

// Observation is one thing seen of an attempt.
type Observation struct {
	// Kind says which.
	Kind ObservationKind
	// Attempt identifies the attempt.
	Attempt string
	// Upstream is the upstream's ID.
	Upstream string
	// Priority is the request's, set at ObservedStart; lower runs first.
	Priority int
	// Elapsed is the time that Kind names.
	Elapsed time.Duration
	// PromptTokens, CachedTokens and Tokens count the attempt's work, as far as
	// known. CachedTokens is UnknownCached where the engine does not say; Tokens
	// may count pieces of the answer where tokens are not told apart, as long as
	// a service's pieces are all of a kind.
	PromptTokens int
	CachedTokens int
	Tokens       int
	// Prefix holds hashes of the prompt's leading blocks, shortest first.
	Prefix []uint64
	// BetweenTokensTarget is the request's own, set at ObservedStart; zero means
	// that the configuration's holds.
	BetweenTokensTarget time.Duration
	// Failure is how the attempt failed; empty for a whole answer.
	Failure Failure
}

// Limiter decides whether a request may begin.
type Limiter interface {
	// Admit returns a ticket or a *Refusal that says "not run" and when to come back.
	Admit(ask Admission) (Ticket, error)
}

// Ticket is a place that an admitted request holds.
type Ticket interface {
	// Grow counts more memory against the node's cap; it reports false where the cap is met.
	Grow(bytes int) bool
	// Release gives the place back; it may be called twice.
	Release()
}

// Admission is what a request asks for before it begins.
type Admission struct {
	// Organisation is the caller's.
	Organisation string
	// Service is the model deployment or plain service.
	Service string
	// Class is the priority class and Priority its number; lower runs first.
	Class    string
	Priority int
	// PromptTokens and MaxTokens bound the work.
	PromptTokens int
	MaxTokens    int
	// Bytes is the memory that the request holds at first.
	Bytes int
	// Deadline is when the answer is worthless.
	Deadline time.Time
}

// RetryPolicy bounds retries so that they cannot amplify an outage.
type RetryPolicy interface {
	// Started counts a first attempt, which earns a part of a retry.
	Started(organisation, service string)
	// Retry returns how long to wait before the given retry (1 is the first), or a
	// *Refusal if the budget is spent.
	Retry(organisation, service string, retry int, ratio float64) (time.Duration, error)
	// Succeeded tells that a replica of the service has begun to answer.
	Succeeded(service string)
	// GoOn is Retry for an attempt that adds no load beyond the request's own:
	// nothing of the one before went out, or it died with a part of the answer
	// that stands. It is refused only while the service does not answer others.
	GoOn(organisation, service string, retry int, ratio float64) (time.Duration, error)
}

// Quarantine holds back requests that crash what runs them.
type Quarantine interface {
	// Check returns a *Refusal for a request held back; alone asks that a suspect
	// runs where it can harm no other.
	Check(fingerprint uint64) (alone bool, err error)
	// Apart returns which of the replicas a suspect should not run on, so that
	// its next run tells it apart from the others.
	Apart(fingerprint uint64, replicas []string) []string
	// Running counts a request in at a replica, and Ended counts it out.
	Running(upstream string, fingerprint uint64)
	Ended(upstream string, fingerprint uint64)
	// Crashed tells that a replica died under the requests running there.
	Crashed(upstream string)
}
