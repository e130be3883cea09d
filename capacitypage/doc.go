// Package capacitypage measures the growth rates from which docs/CAPACITY.md is
// calculated and which no single package can measure. It runs whole nodes over
// loopback, with a small or a large fleet in the instance list, and contains
// only benchmarks.
package capacitypage
