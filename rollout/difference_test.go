package rollout_test

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/gob"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"zinniamast/blackboard"
	"zinniamast/rollout"
)

// largeDocument returns a valid configuration of 500 organisations; the key
// hashes hardly compress.
func largeDocument(seconds int) []byte {
	organisations := make([]string, 500)
	for i := range organisations {
		organisations[i] = fmt.Sprintf(`{"name": "organisation-%d", "key_hashes": ["%x"]}`, i, sha256.Sum256(fmt.Append(nil, i)))
	}
	return fmt.Appendf(nil, `{"defaults": {"deadline": "%ds"}, "organisations": [%s], "models": [{"name": "drafts"}], "services": []}`,
		seconds, strings.Join(organisations, ",\n"))
}

// wireSize returns the encoded size of a message in bytes.
func wireSize(check *is.I, message rollout.Spread) int {
	var wire bytes.Buffer
	check.NoErr(gob.NewEncoder(&wire).Encode(message))
	return wire.Len()
}

// newSingleNode returns a node without peers, with the given version in force
// or none.
func newSingleNode(check *is.I, entry *rollout.Entry) (*rollout.Rollout, *blackboard.Board) {
	board := blackboard.New()
	r, err := rollout.New(rollout.Config{
		Node:  "single",
		Board: board,
	})
	check.NoErr(err)
	if entry != nil {
		var reply rollout.SpreadReply
		check.NoErr(r.Receiver().Spread(rollout.Spread{Entry: entry}, &reply))
		check.Equal(reply.Nodes[0].Number, entry.Number)
	}
	return r, board
}

// A change of one line goes to nodes that have the previous version and must be
// sent as a difference. A node that has another version, or other content under
// the same number and token, must apply nothing and report its lower number, so
// that it is sent the full version; otherwise it would serve with a
// configuration that was never accepted.
func TestChangesAreSentAsDifferences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		f := newFleet(t, 2, 2)
		put := change(0, 0)
		put.Raw = largeDocument(60)
		check.Equal(f.nodes["a0"].Put(t.Context(), put).Outcome, rollout.InForce)
		first := f.spreads[0]
		f.spreads = nil
		put = change(1, 0)
		put.Raw = largeDocument(75)
		check.Equal(f.nodes["b1"].Put(t.Context(), put).Outcome, rollout.InForce)
		check.Equal(len(f.spreads), 3)
		delta := f.spreads[0]
		for _, spread := range f.spreads {
			check.True(spread.Difference != nil)
			check.True(wireSize(check, spread) < 1000)
		}
		t.Logf("a version of %d bytes: whole %d bytes, as a difference %d", len(put.Raw), wireSize(check, first), wireSize(check, delta))
		for _, n := range f.nodes {
			check.Equal(n.board.Configuration.Current().Raw, put.Raw)
		}

		var packed bytes.Buffer
		w := gzip.NewWriter(&packed)
		_, err := w.Write(bytes.Replace(largeDocument(60), []byte("drafts"), []byte("labels"), 1))
		check.NoErr(err)
		check.NoErr(w.Close())
		another := *first.Entry
		another.Packed = packed.Bytes()
		for _, has := range []*rollout.Entry{nil, &another} {
			r, board := newSingleNode(check, has)
			before := board.Configuration.Current()
			var reply rollout.SpreadReply
			check.NoErr(r.Receiver().Spread(delta, &reply))
			check.True(reply.Nodes[0].Number < 2)
			check.Equal(board.Configuration.Current(), before)
		}
		r, board := newSingleNode(check, first.Entry)
		var reply rollout.SpreadReply
		check.NoErr(r.Receiver().Spread(delta, &reply))
		check.Equal(reply.Nodes[0].Number, uint64(2))
		check.Equal(board.Configuration.Current().Raw, put.Raw)
		f.checkVersionsIncrease()
	})
}
