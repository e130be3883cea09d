// Package reports distributes the load reports of the model replicas to every
// node, although only one node of each failure domain reads them. The load of the
// services travels with them.
package reports
