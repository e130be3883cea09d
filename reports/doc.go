// Package reports tells every node what the model replicas say of their own
// load, although only one node of each failure domain asks them, and what all
// nodes are asked.
package reports
