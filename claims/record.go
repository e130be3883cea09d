// Package claims sees to it that a call which may not be repeated runs at most
// once: a node writes a claim on the caller's key into the platform's table
// before the first byte goes upstream, and nobody ever takes a claim over.
package claims

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"
	"time"

	"zinniamast"
)

// openPartition lists the claims that have no known outcome, fleet-wide.
const openPartition = "claims_open"

// claimSortKey is the sort key of a claim, which has a partition of its own.
const claimSortKey = "claim"

// Call is a call that may not be repeated, with the key its caller gave it.
type Call struct {
	// Organisation is the caller's.
	Organisation string
	// Service is the plain service.
	Service string
	// Key is the caller's idempotency key.
	Key string
	// Method, Path and Body are what is asked; all three bind the key.
	Method string
	Path   string
	Body   []byte
	// Deadline is when the answer is worthless; nothing is sent after it.
	Deadline time.Time
	// First means that the caller vouches that nothing can have run under the
	// key: it was never sent, or every sending was answered with "not run".
	First bool
}

// name joins what makes a key unique; no part can run into the next.
func (c *Call) name() string {
	return url.QueryEscape(c.Organisation) + "/" + url.QueryEscape(c.Service) + "/" + url.QueryEscape(c.Key)
}

// Hash binds a key to what it was first sent with.
func (c *Call) Hash() string {
	hash := sha256.New()
	hash.Write([]byte(c.Method + " " + c.Path + "\n"))
	hash.Write(c.Body)
	return hex.EncodeToString(hash.Sum(nil))
}

// UpstreamKey is the key that the service sees. It contains the organisation,
// so that two organisations which choose the same key cannot get each other's answer.
func UpstreamKey(organisation, key string) string {
	return url.QueryEscape(organisation) + ":" + key
}

// Record is a claim as it stands in the table.
type Record struct {
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
	Key          string `json:"key"`
	Method       string `json:"method"`
	Path         string `json:"path"`
	BodyHash     string `json:"body_hash"`
	// State is the claim's state.
	State State `json:"state"`
	// Node is the process that holds or held the claim.
	Node string `json:"node"`
	// Nonce tells this claim from every other, also of the same node.
	Nonce string `json:"nonce"`
	// Claimed is when the claim was made.
	Claimed time.Time `json:"claimed"`
	// Deadline is when the holder gives up; it sends nothing after it.
	Deadline time.Time `json:"deadline"`
	// Answer is the whole answer of a done claim, unless it was too large for the table.
	Answer *zinniamast.ServiceAnswer `json:"answer,omitempty"`
	// Object is set if the answer of a done claim lies in the object store.
	Object *Object `json:"object,omitempty"`
	// OpenRevision is the revision of the entry in the list of open claims.
	OpenRevision uint64 `json:"open_revision,omitempty"`
	// ResolvedBy says who decided an unknown outcome: lookup or an operator's name.
	ResolvedBy string `json:"resolved_by,omitempty"`
}

// name returns the same name as the call's.
func (r *Record) name() string {
	call := Call{
		Organisation: r.Organisation,
		Service:      r.Service,
		Key:          r.Key,
	}
	return call.name()
}

func claimKey(name string) zinniamast.Key {
	return zinniamast.Key{
		Partition: "claim/" + name,
		Sort:      claimSortKey,
	}
}

func openKey(name string) zinniamast.Key {
	return zinniamast.Key{
		Partition: openPartition,
		Sort:      name,
	}
}

// decode reads a record from an item.
func decode(item zinniamast.Item) (Record, error) {
	var record Record
	err := json.Unmarshal(item.Value, &record)
	return record, err
}

// encode writes a record as an item's value.
func encode(record Record) []byte {
	raw, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	return raw
}

// recordWrites returns the writes that bring a record from its revision in the table
// to a new state: the claim and its entry in the open list change together.
//
// Failure: the release of a claim is delayed in the network, sent again, and
// the late copy arrives when another node holds a new claim on the key. If
// release deleted the item, the new claim would stand at the revision that the
// late copy expects and vanish, and a third node would run the call again. A
// released claim therefore stays as free and its revision only rises.
func recordWrites(before, after *Record, expect uint64, retention time.Duration) []zinniamast.Write {
	name := after.name()
	openBefore, openAfter := before.State.isOpen(), after.State.isOpen()
	after.OpenRevision = 0
	if openAfter {
		after.OpenRevision = before.OpenRevision + 1
	}
	claim := zinniamast.Item{
		Key:   claimKey(name),
		Value: encode(*after),
	}
	if !openAfter {
		claim.Expires = time.Now().Add(retention)
	}
	all := []zinniamast.Write{{
		Item:   claim,
		Expect: expect,
	}}
	if !openBefore && !openAfter {
		return all
	}
	entry := zinniamast.Write{
		Item: zinniamast.Item{
			Key: openKey(name),
		},
		Delete: !openAfter,
		Expect: before.OpenRevision,
	}
	if openAfter {
		entry.Item.Value = claim.Value
	}
	return append(all, entry)
}
