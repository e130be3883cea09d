package membership_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"log/slog"
	"testing"

	"zinniamast/blackboard"
	"zinniamast/membership"
)

// unreachableTransport is a transport on which every call fails.
type unreachableTransport struct{}

func (unreachableTransport) Exchange(context.Context, string, *membership.Exchange) (*membership.Exchange, error) {
	return nil, errNetwork
}

func (unreachableTransport) Probe(context.Context, string, membership.Probe) (membership.ProbeResult, error) {
	return membership.ProbeResult{}, errNetwork
}

// FuzzReceive feeds a node messages as a peer of another version, or a faulty one, may
// send them. A message must neither crash the node nor remove or change its own entry.
func FuzzReceive(f *testing.F) {
	seed := func(message membership.Exchange) {
		var raw bytes.Buffer
		if err := gob.NewEncoder(&raw).Encode(message); err != nil {
			f.Fatal(err)
		}
		f.Add(raw.Bytes())
	}
	record := membership.Record{ID: "b", Address: "b:1", Incarnation: 7, State: membership.Leaving}
	seed(membership.Exchange{From: "b", Incarnation: 7, Digest: 9, Records: []membership.Record{record}})
	seed(membership.Exchange{From: "b", Domain: "other", Want: true, Summaries: []membership.Summary{{Domain: "other", Version: 5, Contacts: []membership.Record{record}}}})
	seed(membership.Exchange{From: "b", News: []membership.Item{{Topic: "summary", Key: "k", Value: []byte(`{"Domain":"x"}`), Origin: "b", Sequence: 3, Millis: 100, Wide: true}}})
	seed(membership.Exchange{From: "a", Records: []membership.Record{{ID: "a", Incarnation: 1 << 63, State: membership.Dead}}})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var message membership.Exchange
		if gob.NewDecoder(bytes.NewReader(raw)).Decode(&message) != nil {
			return
		}
		table := blackboard.NewMembers()
		m := membership.New(membership.Config{
			ID:            "a",
			FailureDomain: "here",
			Address:       "a:1",
			Members:       table,
			Transport:     unreachableTransport{},
			Logger:        slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		for range 2 {
			if answer := m.Receive(&message); answer.From != "a" {
				t.Fatal("answer has another sender ID")
			}
		}
		own, ok := table.Get("a")
		if !ok || own.Dead || own.FailureDomain != "here" || own.Address != "a:1" {
			t.Fatalf("message changed the node's own entry: %+v", own)
		}
	})
}
