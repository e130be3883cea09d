// Package checker reconciles the outcomes that callers received with the runs
// that took place.
//
// Tests and the load command record each request before they send it and its
// final outcome; the stand-ins count the runs. Reconcile compares the two and
// reports each violated guarantee.
package checker
