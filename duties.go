package zinniamast

import "context"

// Duties are the calls that one node at a time owes the platform, under a
// fencing number that rises with each holder.
type Duties interface {
	// Report sends the usage of one window; sending the same again is harmless.
	Report(ctx context.Context, fence uint64, report UsageReport) error
	// Scale orders how many replicas of one market there shall be; ErrRefused
	// if there are none to be had now.
	Scale(ctx context.Context, fence uint64, order ScaleOrder) error
}

// UsageReport counts the requests that began to run in one window.
type UsageReport struct {
	// Window is the window's number since 1970.
	Window int64 `json:"window"`
	// Counts are by organisation.
	Counts map[string]int `json:"counts"`
}

// ScaleOrder is a number of replicas of a service in a failure domain.
type ScaleOrder struct {
	Service       string
	FailureDomain string
	Market        Market
	Count         int
}
