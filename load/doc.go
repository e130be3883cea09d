// Package load sends seeded mixed traffic to running nodes, as callers would,
// and checks every outcome with package checker.
//
// Model requests go through the public client openai-go at its default
// settings; service calls use net/http. A caller whose connection breaks, or
// whose refusal contains a retry delay, retries under the same idempotency key
// until its deadline.
package load
