package issuedkeys

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// prefix is the start of every issued key.
const prefix = "zk1."

// partCount is the number of dot-separated parts of an issued key.
const partCount = 6

// macBytes is the number of bytes of the MAC that a key contains.
const macBytes = 16

// Key is a parsed issued key.
type Key struct {
	// Node and Epoch identify the only process that may dispatch the key.
	Node  string
	Epoch string
	// Serial identifies the key within its epoch.
	Serial uint64
	// Expires is the time until which the key may be used for the first time.
	Expires time.Time
}

// IsIssued reports whether an idempotency key has the form of an issued key, without
// verifying it.
func IsIssued(text string) bool { return strings.HasPrefix(text, prefix) }

// body returns the signed part of the key's text.
func (k *Key) body() string {
	node := base64.RawURLEncoding.EncodeToString([]byte(k.Node))
	return fmt.Sprintf("%s%s.%s.%d.%d", prefix, node, k.Epoch, k.Serial, k.Expires.Unix())
}

// mac returns the MAC that binds the key to its organisation and service.
func mac(secret, body, organisation, service string) string {
	h := hmac.New(sha256.New, []byte(secret))
	fmt.Fprintf(h, "%q %q %q", body, organisation, service)
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:macBytes])
}

// sign returns the key's text with its MAC.
func (k *Key) sign(secret, organisation, service string) string {
	body := k.body()
	return body + "." + mac(secret, body, organisation, service)
}

// parse parses a key without verifying its signature.
func parse(text string) (Key, error) {
	fields := strings.Split(text, ".")
	if len(fields) != partCount || !IsIssued(text) {
		return Key{}, ErrNotIssued
	}
	node, err := base64.RawURLEncoding.DecodeString(fields[1])
	if err != nil {
		return Key{}, ErrNotIssued
	}
	serial, err := strconv.ParseUint(fields[3], 10, 64)
	if err != nil {
		return Key{}, ErrNotIssued
	}
	expires, err := strconv.ParseInt(fields[4], 10, 64)
	if err != nil {
		return Key{}, ErrNotIssued
	}
	return Key{
		Node:    string(node),
		Epoch:   fields[2],
		Serial:  serial,
		Expires: time.Unix(expires, 0),
	}, nil
}

// Verify parses a key and verifies that the fleet issued it to this organisation
// for this service. It compares the whole text, because a caller could otherwise
// make two keys that differ in their text and count as one.
func (i *Issuer) Verify(organisation, service, text string) (Key, error) {
	key, err := parse(text)
	if err != nil {
		return Key{}, err
	}
	for _, secret := range i.config.Secrets {
		if hmac.Equal([]byte(text), []byte(key.sign(secret, organisation, service))) {
			return key, nil
		}
	}
	return Key{}, ErrNotIssued
}
