package zinniamast

import "time"

// Router chooses the upstream of each attempt.
type Router interface {
	// Route chooses an upstream. Errors are of type *Refusal.
	Route(request *RouteRequest) (Choice, error)
	// Observe reports the progress of an attempt. It is safe for concurrent use.
	Observe(observation Observation)
	// Explain describes in a few lines why a recent request was routed to its upstream.
	Explain(request string) string
}

// RouteRequest describes one attempt for which an upstream is chosen.
type RouteRequest struct {
	// Request is the request's ID, which Explain uses.
	Request string
	// Service is the model deployment or plain service.
	Service string
	// Organisation is the caller's organisation.
	Organisation string
	// Class is the priority class and Priority its number. Lower numbers run first.
	Class    string
	Priority int
	// PromptTokens is the approximate length of the prompt.
	PromptTokens int
	// Produced is the number of tokens of the answer that earlier attempts have produced.
	Produced int
	// MaxTokens limits the length of the whole answer.
	MaxTokens int
	// Prefix holds hashes of the prompt's leading blocks, shortest first, as
	// computed by package prefix.
	Prefix []uint64
	// Deadline is the time after which the answer is useless to the caller.
	Deadline time.Time
	// FirstTokenTarget and BetweenTokensTarget are the latency targets.
	FirstTokenTarget    time.Duration
	BetweenTokensTarget time.Duration
	// Avoid lists upstreams at which attempts of this request have failed.
	Avoid []string
	// Alone asks for a replica without other important requests, because this
	// request is suspected of crashing replicas.
	Alone bool
	// Resumes means that the request goes on with a stream that a replica of the software
	// version Version began. No replica of another version may be chosen.
	Resumes bool
	Version string
	// AvoidVersions lists software versions whose replicas must not be chosen, and Only the
	// replicas that may be chosen, all if it is empty.
	AvoidVersions []string
	Only          []string
}

// Choice is the routing decision for an attempt.
type Choice struct {
	// Upstream is the upstream's ID.
	Upstream string
	// FirstToken and BetweenTokens are the predicted latencies on which the choice
	// is based.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// CachedTokens is the number of prompt tokens that the replica probably has in
	// its cache, including those that it is to fetch from FetchFrom.
	CachedTokens int
	// Work is the compute time that the attempt's prompt takes on a replica of
	// typical speed. It is zero while that is unknown.
	Work time.Duration
	// FetchFrom is the upstream from which the replica fetches the part of the
	// prompt's KV cache that it lacks. It is empty if nothing is fetched.
	FetchFrom string
}

// ObservationKind is the event that an Observation reports.
type ObservationKind int

// The events that the request path reports to the router.
const (
	// ObservedStart is reported when an attempt is sent.
	ObservedStart ObservationKind = iota
	// ObservedFirstToken is reported with the first token. Elapsed is measured from
	// the start of the attempt.
	ObservedFirstToken
	// ObservedEnd is reported when an attempt ends. Elapsed is measured from the
	// first token.
	ObservedEnd
	// ObservedSilent is reported when an attempt goes on although its upstream is
	// silent, with the failure that its silence counts as. Elapsed is measured from the
	// start of the attempt.
	ObservedSilent
)

// UnknownCached is the number of cached tokens if the engine does not report it.
const UnknownCached = -1

// Observation reports one event of an attempt.
type Observation struct {
	// Kind is the event.
	Kind ObservationKind
	// Attempt identifies the attempt.
	Attempt string
	// Upstream is the upstream's ID.
	Upstream string
	// Priority is the request's priority number, set with ObservedStart. Lower
	// numbers run first.
	Priority int
	// Elapsed is the duration described at Kind's constants.
	Elapsed time.Duration
	// PromptTokens, CachedTokens and Tokens count the attempt's work, as far as it
	// is known. CachedTokens is UnknownCached if the engine does not report it.
	// Tokens may count the pieces of the answer if the tokens in them cannot be
	// counted, provided that all pieces of a service are of the same kind.
	PromptTokens int
	CachedTokens int
	Tokens       int
	// Prefix holds hashes of the prompt's leading blocks, shortest first.
	Prefix []uint64
	// BetweenTokensTarget is the request's own target, set with ObservedStart. Zero
	// means that the configured target applies.
	BetweenTokensTarget time.Duration
	// Failure is the way in which the attempt failed. It is empty for a complete answer.
	Failure Failure
}

// Limiter decides whether a request is admitted.
type Limiter interface {
	// Admit returns a ticket, or a *Refusal with Ran set to NotRun and RetryAfter set
	// to the time to wait.
	Admit(admission Admission) (Ticket, error)
}

// Ticket holds the resources reserved for an admitted request.
type Ticket interface {
	// Grow counts additional memory against the node's memory cap. It returns false
	// if that would exceed the cap.
	Grow(bytes int) bool
	// Release returns the reserved resources. Calling it again has no effect.
	Release()
}

// Admission describes a request that asks to be admitted.
type Admission struct {
	// Organisation is the caller's organisation.
	Organisation string
	// Service is the model deployment or plain service.
	Service string
	// Class is the priority class and Priority its number. Lower numbers run first.
	Class    string
	Priority int
	// PromptTokens and MaxTokens are upper bounds of the work.
	PromptTokens int
	MaxTokens    int
	// Bytes is the memory that the request uses initially.
	Bytes int
	// Deadline is the time after which the answer is useless to the caller.
	Deadline time.Time
}

// RetryPolicy limits retries so that they cannot amplify an outage.
type RetryPolicy interface {
	// Started counts a first attempt, which adds a fraction of a retry to the budget.
	Started(organisation, service string)
	// Retry returns the backoff before the given retry (1 is the first), or a
	// *Refusal if the retry budget is exhausted.
	Retry(organisation, service string, retry int, ratio float64) (time.Duration, error)
	// Succeeded reports that a replica of the service has started to answer.
	Succeeded(service string)
	// Failover is like Retry, for an attempt that adds no load beyond the request's
	// own: either nothing of the previous attempt was sent, or its replica failed
	// and the part of the answer already produced remains valid. The budget
	// applies to the first such attempts of a request only while the service does
	// not answer other requests.
	Failover(organisation, service string, retry int, ratio float64) (time.Duration, error)
}

// Quarantine refuses requests that crash the replicas that run them.
type Quarantine interface {
	// Check returns a *Refusal for a quarantined request. For a suspect request,
	// alone is true: it must run where it cannot harm other requests.
	Check(fingerprint uint64) (alone bool, err error)
	// CheckRetry is Check for a request whose previous attempt has just ended. It never
	// waits.
	CheckRetry(fingerprint uint64) (alone bool, err error)
	// ReplicasToAvoid returns the replicas that a suspect request should avoid, so that its
	// next run distinguishes it from the other suspects.
	ReplicasToAvoid(fingerprint uint64, replicas []string) []string
	// AttemptWrites reports that the replica has been writing the answer for a while.
	AttemptWrites(upstream string, fingerprint uint64)
	// AttemptStarted reports that a request is sent to a replica, and AttemptEnded that
	// the attempt has ended. If isAnswered is true, the replica ran the request and answered it
	// completely; only this shows that the request does not crash replicas.
	AttemptStarted(upstream string, fingerprint uint64)
	AttemptEnded(upstream string, fingerprint uint64, isAnswered bool)
	// ReplicaCrashed reports that a replica crashed while it ran requests.
	ReplicaCrashed(upstream string)
}

// PartQuarantine refuses requests whose prompts have a part that crashes the replicas that
// begin to answer them. A part is identified by its ID; the last part of a prompt, which
// belongs to the request alone, is none.
type PartQuarantine interface {
	// Check returns a *Refusal for a request with a quarantined part. For a request with a
	// suspect part, alone is true: it must run where it cannot harm other requests.
	Check(parts []uint64) (alone bool, err error)
	// ReplicasToAvoid returns the replicas that a request with a suspect part should avoid.
	ReplicasToAvoid(parts []uint64, replicas []string) []string
	// Started reports that a request is sent to a replica. If one of its parts is
	// quarantined before the replica begins to answer, cancel is called.
	Started(upstream string, parts []uint64, cancel func()) PartRun
	// ReplicaCrashed reports that a replica crashed while it ran requests. It precedes Ended
	// of their runs.
	ReplicaCrashed(upstream string)
}

// PartRun is a request at a replica.
type PartRun interface {
	// Wrote reports that a piece of the answer has arrived.
	Wrote()
	// Ended reports that the run has ended. If isAnswered is true, the replica answered the
	// request completely.
	Ended(isAnswered bool)
}
