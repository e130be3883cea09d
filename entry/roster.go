package entry

import (
	"context"
	"time"

	"zinniamast/roster"
)

// rosterInterval is how often the roster is read, and rosterFirst in the first
// seconds, when all nodes start at once. One node of each failure domain reads
// it from the store and the others ask that one: with a read of its own each 45 s
// a node of 91 costs as many calls and sees a new node that much later.
const (
	rosterInterval = 5 * time.Second
	rosterFirst    = time.Second
	rosterFast     = 5
)

// enterRoster announces this node and goes on counting the others.
//
// Failure: all nodes lose power. A node that announced itself before it read the
// roster knew of no pool of any allowance for some 60 ms, in which it refused
// every request; the list of before is at hand.
func (e *Entry) enterRoster(ctx context.Context) {
	if _, err := e.roster.Read(ctx); err != nil {
		e.config.Logger.Debug("roster not read", "cause", err)
	}
	e.roster.Announce(ctx)
	for round := 0; ctx.Err() == nil; round++ {
		if err := e.readRoster(ctx); err != nil {
			e.config.Logger.Debug("roster not read", "cause", err)
		}
		if e.roster.Missing() {
			e.roster.Announce(ctx)
		}
		wait := rosterInterval
		if round < rosterFast {
			wait = rosterFirst
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// readRoster hears the roster from the failure domain's reader, or reads it.
func (e *Entry) readRoster(ctx context.Context) error {
	if reader, ok := e.reader(); ok && e.borrowRoster(ctx, reader.address) {
		return nil
	}
	if _, err := e.roster.Read(ctx); err != nil {
		return err
	}
	e.roster.Retire(ctx, e.isAlive)
	return nil
}

// borrowRoster hears the roster from a peer and says whether it knew one.
//
// Failure: an instance starts while the store is silent. Until its own reading
// has timed out it knows of no other and takes a small fixed part of each
// allowance for its own: callers well within theirs were refused for seconds.
func (e *Entry) borrowRoster(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var entries []roster.Entry
	if err := e.pool.Call(ctx, address, relayName+".Roster", struct{}{}, &entries); err != nil || len(entries) == 0 {
		e.config.Logger.Debug("roster not told", "peer", address, "cause", err)
		return false
	}
	e.roster.Set(entries)
	return true
}

// isAlive says whether an instance of this failure domain is heard of.
func (e *Entry) isAlive(id string) bool {
	member, known := e.board.Members.Get(id)
	return known && !member.Dead
}

// Roster answers with the entry instances known here.
func (r *Relay) Roster(_ struct{}, reply *[]roster.Entry) error {
	*reply = r.roster.Entries()
	return nil
}
