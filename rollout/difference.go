package rollout

import (
	"bytes"

	"github.com/zeebo/xxh3"
)

// Difference describes a version as a change to the version before it. Most
// changes are a few lines; if every version were sent whole to every node,
// thousands of changes a day would cost the sending node and the contacts
// several times their traffic budget.
type Difference struct {
	// Base and Token identify the version that the difference applies to.
	Base  uint64
	Token string
	// Prefix and Suffix are the numbers of bytes kept from the start and the
	// end of the base.
	Prefix, Suffix int
	// Middle replaces the bytes between them.
	Middle []byte
	// Sum is the xxh3 hash of the whole result. It keeps a base with the
	// expected number and token but other content from producing a
	// configuration that was never accepted.
	Sum uint64
}

// newDifference returns the difference between two entries, or nil if it is not
// smaller than the compressed entry.
func newDifference(before, after *Entry) *Difference {
	if before == nil || after == nil {
		return nil
	}
	from, err := before.Raw()
	if err != nil {
		return nil
	}
	to, err := after.Raw()
	if err != nil {
		return nil
	}
	prefix := 0
	for prefix < min(len(from), len(to)) && from[prefix] == to[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < min(len(from), len(to))-prefix && from[len(from)-1-suffix] == to[len(to)-1-suffix] {
		suffix++
	}
	middle := to[prefix : len(to)-suffix]
	if len(middle) >= len(after.Packed) {
		return nil
	}
	return &Difference{
		Base:   before.Number,
		Token:  before.Token,
		Prefix: prefix,
		Suffix: suffix,
		Middle: middle,
		Sum:    xxh3.Hash(to),
	}
}

// apply returns the configuration that results from applying the difference to
// base, or nil if base is not the version it was made from.
func (d *Difference) apply(base *Entry) []byte {
	if base == nil || base.Number != d.Base || base.Token != d.Token {
		return nil
	}
	from, err := base.Raw()
	if err != nil || d.Prefix < 0 || d.Suffix < 0 || d.Prefix > len(from) || d.Suffix > len(from)-d.Prefix {
		return nil
	}
	to := bytes.Join([][]byte{from[:d.Prefix], d.Middle, from[len(from)-d.Suffix:]}, nil)
	if xxh3.Hash(to) != d.Sum {
		return nil
	}
	return to
}

// push is one entry in the two forms in which it is sent: as a delta to nodes
// that have the previous version, in full to the others.
type push struct {
	full  Spread
	delta Spread
}

// version returns the version number that the push delivers, zero if the push
// is only a query.
func (p push) version() uint64 {
	if p.full.Entry == nil {
		return 0
	}
	return p.full.Entry.Number
}

// forRelay returns the push as it is sent to a contact, which relays it to its
// failure domain.
func (p push) forRelay() push {
	p.full.Relay = true
	p.delta.Relay = true
	return p
}

// preparePush returns both forms of an entry that is in force on this node.
func (r *Rollout) preparePush(entry *Entry) push {
	p := push{
		full: Spread{
			Entry: entry,
		},
	}
	r.mu.Lock()
	previous := r.previous
	r.mu.Unlock()
	difference := newDifference(previous, entry)
	if difference == nil {
		p.delta = p.full
		return p
	}
	header := *entry
	header.Packed = nil
	p.delta = Spread{
		Entry:      &header,
		Difference: difference,
	}
	return p
}

// resolveEntry returns the entry that a peer sent, or nil if it is a difference
// from a version that this node does not have.
func (r *Rollout) resolveEntry(args Spread) *Entry {
	if args.Difference == nil || args.Entry == nil {
		return args.Entry
	}
	r.mu.Lock()
	previous, inForce := r.previous, r.entry
	r.mu.Unlock()
	if inForce != nil && inForce.Number == args.Entry.Number && inForce.Token == args.Entry.Token {
		return inForce
	}
	raw := args.Difference.apply(inForce)
	if raw == nil {
		raw = args.Difference.apply(previous)
	}
	if raw == nil {
		return nil
	}
	whole := *args.Entry
	whole.Packed = pack(raw)
	return &whole
}
