// Package rollout distributes one fleet-wide configuration to every node.
//
// A version is accepted by one conditional write to the platform's table. It
// is then pushed to all nodes through their peers. The version numbers in
// heartbeats and periodic reads of the table's small head repair missed pushes.
// A node only ever moves to a higher version number, whichever peer sends it.
package rollout
