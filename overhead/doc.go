// Package overhead measures what a node adds to a model request, compared with
// calling the stand-in engine directly in the same run.
// docs/design/0502-node-overhead.md has the figures.
package overhead
