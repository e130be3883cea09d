// Package soak runs entry instances of the users' platform as processes and
// injects faults from outside, drawn from a seed: links that are slow, silent
// or reset, processes that are killed, paused and stopped, a store and replicas
// that misbehave, in series and overlapping. While it runs it checks what
// callers and replicas see.
package soak
