// Package claims ensures that a call which must not be repeated runs at most
// once: a node writes a claim on the caller's idempotency key to the platform's
// table before it sends the first byte upstream, and a claim is never transferred
// to another holder.
package claims

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"
	"time"

	"zinniamast"
)

// openPartition is the table partition that lists the claims of all nodes whose
// outcome is not known.
const openPartition = "claims_open"

// claimSortKey is the sort key of a claim; each claim has its own partition.
const claimSortKey = "claim"

// Call is a call that must not be repeated, with the idempotency key that its
// caller chose.
type Call struct {
	// Organisation is the organisation of the caller.
	Organisation string
	// Service is the name of the service that is called.
	Service string
	// Key is the caller's idempotency key.
	Key string
	// Method, Path and Body describe the request; the key is bound to all three.
	Method string
	Path   string
	Body   []byte
	// Deadline is when the caller no longer needs the answer; the call is not
	// sent after it.
	Deadline time.Time
	// FirstSending means that the caller guarantees that no call has run under the key:
	// it was never sent, or every earlier request was answered with "not run".
	FirstSending bool
}

// name returns the unique name of the claim. The parts are escaped, so that two
// different combinations cannot have the same name.
func (c *Call) name() string {
	return url.QueryEscape(c.Organisation) + "/" + url.QueryEscape(c.Service) + "/" + url.QueryEscape(c.Key)
}

// Hash returns a hash of the method, path and body that the key is bound to.
func (c *Call) Hash() string {
	hash := sha256.New()
	hash.Write([]byte(c.Method + " " + c.Path + "\n"))
	hash.Write(c.Body)
	return hex.EncodeToString(hash.Sum(nil))
}

// UpstreamKey returns the key that is sent to the service. It contains the
// organisation, so that two organisations that choose the same key cannot
// receive each other's answer.
func UpstreamKey(organisation, key string) string {
	return url.QueryEscape(organisation) + ":" + key
}

// Record is a claim as it is stored in the table.
type Record struct {
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
	Key          string `json:"key"`
	Method       string `json:"method"`
	Path         string `json:"path"`
	BodyHash     string `json:"body_hash"`
	State        State  `json:"state"`
	// Node is the process that holds or held the claim.
	Node string `json:"node"`
	// Nonce distinguishes this claim from all others, including those of the
	// same node.
	Nonce string `json:"nonce"`
	// Claimed is when the claim was created.
	Claimed time.Time `json:"claimed"`
	// Deadline is when the holder gives up; it does not send the call after it.
	Deadline time.Time `json:"deadline"`
	// Answer is the complete answer of a done claim, unless it was too large for
	// the table.
	Answer *zinniamast.ServiceAnswer `json:"answer,omitempty"`
	// Object is set if the answer of a done claim is in the object store.
	Object *Object `json:"object,omitempty"`
	// OpenRevision is the revision of the entry in the list of open claims.
	OpenRevision uint64 `json:"open_revision,omitempty"`
	// ResolvedBy is who resolved an unknown outcome: "lookup" or an operator's name.
	ResolvedBy string `json:"resolved_by,omitempty"`
}

// name returns the same name as Call.name.
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

// decode parses the record in a table item.
func decode(item zinniamast.Item) (Record, error) {
	var record Record
	err := json.Unmarshal(item.Value, &record)
	return record, err
}

// encode returns the record as the value of a table item.
func encode(record Record) []byte {
	raw, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	return raw
}

// recordWrites returns the writes that change a record from its revision in the
// table to a new state. The claim and its entry in the list of open claims
// change in one transaction.
//
// A release that is delayed in the network and sent again can arrive a second
// time when another node holds a new claim on the key. If a release deleted the
// item, the new claim could have the revision that the late copy expects; the
// late copy would delete it, and a third node would run the call again. A
// released claim is therefore retained as a free record, and its revision only
// increases.
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
