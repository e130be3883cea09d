// Package config holds the fleet-wide configuration: a few defaults and a short
// list of exceptions, each with a written reason.
package config

// Config is one accepted configuration of the whole fleet.
type Config struct {
	// Defaults apply wherever no exception matches.
	Defaults Policy `json:"defaults"`
	// Exceptions override single fields for the requests that they match; later
	// exceptions take precedence.
	Exceptions []Exception `json:"exceptions,omitempty"`
	// Organisations are permitted to call; their keys identify them.
	Organisations []Organisation `json:"organisations"`
	// Models are the model deployments on offer.
	Models []Model `json:"models"`
	// Services are the plain services on offer.
	Services []Service `json:"services"`
	// Capacity configures which instances may be bought; none is bought without it.
	Capacity *Capacity `json:"capacity,omitempty"`
}

// Policy holds the fields that defaults set and exceptions override. A nil field in
// an exception keeps the value from the defaults or from an earlier exception.
type Policy struct {
	// FirstTokenTarget is the 95th-percentile target for the time to first token.
	FirstTokenTarget *Duration `json:"first_token_target,omitempty"`
	// BetweenTokensTarget is the 95th-percentile target for the time between tokens.
	BetweenTokensTarget *Duration `json:"between_tokens_target,omitempty"`
	// Deadline bounds a request that specifies no deadline.
	Deadline *Duration `json:"deadline,omitempty"`
	// MaxTokens bounds the answer to a request that specifies no maximum.
	MaxTokens *int `json:"max_tokens,omitempty"`
	// MaxBody is the largest accepted request body.
	MaxBody *Size `json:"max_body,omitempty"`
	// MaxAttempts bounds the attempts for one request.
	MaxAttempts *int `json:"max_attempts,omitempty"`
	// RetryBudget is the average number of retries allowed per request.
	RetryBudget *float64 `json:"retry_budget,omitempty"`
	// Share is the weight of an organisation when capacity is short.
	Share *float64 `json:"share,omitempty"`
	// QuarantineAfter is the number of crashes after which a request is quarantined.
	QuarantineAfter *int `json:"quarantine_after,omitempty"`
	// ReclaimableFraction bounds the fraction of capacity bought as reclaimable
	// instances.
	ReclaimableFraction *float64 `json:"reclaimable_fraction,omitempty"`
}

// Exception overrides policy fields for the requests that it matches.
type Exception struct {
	// Match selects where the exception applies.
	Match Match `json:"match"`
	// Set holds the overriding fields.
	Set Policy `json:"set"`
	// Reason is given by the operator and must not be empty.
	Reason string `json:"reason"`
}

// Match selects requests by name; an empty field matches every name.
type Match struct {
	Organisation  string `json:"organisation,omitempty"`
	Model         string `json:"model,omitempty"`
	Service       string `json:"service,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
	// Class is a priority class: urgent, normal or bulk.
	Class string `json:"class,omitempty"`
}

// Organisation is a party that is permitted to call.
type Organisation struct {
	Name string `json:"name"`
	// KeyHashes are the hex SHA-256 hashes of its API keys; during a key rotation
	// there are two.
	KeyHashes []string `json:"key_hashes"`
}

// Model is a model deployment.
type Model struct {
	Name string `json:"name"`
	// ChecksFence means that its engines reject orders with an outdated fencing
	// number.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// Holds lists the models, adapters and versions that each replica must hold; if
	// empty, the model name alone.
	Holds []string `json:"holds,omitempty"`
	// MinTokensASecond is the capacity kept even without demand.
	MinTokensASecond float64 `json:"min_tokens_a_second,omitempty"`
}

// Service is a plain service.
type Service struct {
	Name string `json:"name"`
	// Calls specify which calls are idempotent; a call that matches no entry must not
	// be repeated.
	Calls []Call `json:"calls,omitempty"`
	// ChecksKeys means that the service itself runs each idempotency key at most once.
	ChecksKeys bool `json:"checks_keys,omitempty"`
	// LookupPath is a path containing {key} at which the service answers 200 if the
	// key ran and 404 if it did not.
	LookupPath string `json:"lookup_path,omitempty"`
}

// Call matches calls of a service.
type Call struct {
	// Method is an HTTP method; empty matches all.
	Method string `json:"method,omitempty"`
	// Path is a prefix of the path below the service's root.
	Path string `json:"path"`
	// Idempotent means that the call may be repeated.
	Idempotent bool `json:"idempotent"`
}
