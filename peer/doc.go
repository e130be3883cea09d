// Package peer implements calls between the processes of this system: net/rpc
// over TLS 1.3, where both ends authenticate with a shared key.
//
// Certificates are self-signed, last as long as the process and serve only
// for encryption. The shared keys authenticate: each end sends a MAC over the
// exported keying material of the TLS connection, so a MAC that was captured
// or relayed is not valid on any other connection.
package peer
