// Package canary moves the requests of a service gradually from the replicas of one
// software version to those of another, and back if the new version proves bad.
//
// The node that holds the duties' lease leads a rollout: it grants the new version a share
// of the requests, and raises it as long as the answers of both versions, counted by all
// nodes at the same time, compare well. Any node that has the counts may condemn the new
// version and tells the others. A node that has heard of the order but of no grant sends
// the new version nothing.
package canary
