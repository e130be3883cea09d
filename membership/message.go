package membership

import "context"

// State is the state of a member within one incarnation; the higher state wins.
type State uint8

// The states, in the order in which a member passes through them.
const (
	Alive State = iota
	Leaving
	Dead
)

// Record is the state of one member as nodes exchange it.
type Record struct {
	ID          string
	Address     string
	Incarnation uint64
	Weight      float64
	State       State
}

// newer reports whether r replaces another record of the same member.
func (r Record) newer(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.State > other.State
}

// maxIncarnation is far above any clock in milliseconds. A higher number is invalid, and
// raising this node's incarnation above it could overflow.
const maxIncarnation = 1 << 62

// valid reports whether a record can describe a member.
func (r Record) valid() bool {
	return r.ID != "" && r.Address != "" && r.Incarnation < maxIncarnation && r.State <= Dead
}

// Summary describes one failure domain to the others.
type Summary struct {
	Domain string
	// Version orders the summaries of a failure domain, in Unix milliseconds.
	Version uint64
	// Members and Alive are the number of members known and of those not dead.
	Members int
	Alive   int
	// Config is the configuration version in force at the sender.
	Config uint64
	// Contacts are some live members.
	Contacts []Record
}

// Item is one gossip item on the wire. Its lifetime is relative because clocks drift.
type Item struct {
	Topic    string
	Key      string
	Value    []byte
	Origin   string
	Sequence uint64
	// Millis is the remaining lifetime in milliseconds.
	Millis int64
	Wide   bool
}

// Exchange is a heartbeat or the answer to one; it carries all other data as well.
type Exchange struct {
	From        string
	Domain      string
	Incarnation uint64
	// Config is the configuration version in force at the sender.
	Config uint64
	// Digest is a hash of the live members at the sender; zero between failure domains.
	Digest uint64
	// Want in a request asks for the full state of the receiver; in an answer it asks
	// for the record of the node that sent the request.
	Want bool
	// Table means that Records contains every live member.
	Table     bool
	Records   []Record
	News      []Item
	Summaries []Summary
}

// Probe asks a node to probe another one.
type Probe struct {
	ID      string
	Address string
}

// ProbeResult says whether the probed node answered.
type ProbeResult struct {
	Reached bool
}

// Transport sends messages to other nodes.
type Transport interface {
	// Exchange sends a message and returns the answer.
	Exchange(ctx context.Context, address string, message *Exchange) (*Exchange, error)
	// Probe asks the node at an address to probe another one.
	Probe(ctx context.Context, address string, probe Probe) (ProbeResult, error)
}
