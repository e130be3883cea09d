// Package membership maintains a node's view of the other nodes and distributes small
// gossip items between them over the peer transport.
//
// Within a failure domain every node monitors its two successors on a hash ring of node
// IDs and sends changes directly to all members. Between failure domains a few
// representatives, chosen by hashing and without agreement, exchange summaries.
// Incarnation numbers, which only the node they belong to raises, decide which of two
// records is newer. Address lists only say which nodes to contact; an entry on one never
// proves membership.
package membership
