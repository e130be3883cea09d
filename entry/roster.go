package entry

import (
	"context"
	"time"

	"zinniamast/roster"
)

// rosterInterval is how often the roster is read, and rosterStartInterval is the
// interval of the first rosterStartRounds rounds, when all nodes may be starting at
// once. One node of each failure domain reads the roster from the store and the
// others query that node. If instead each of 91 nodes read the store every 45 s, the
// store would receive as many calls, but a new node would be noticed up to 45 s late.
const (
	rosterInterval      = 5 * time.Second
	rosterStartInterval = time.Second
	rosterStartRounds   = 5
)

// maintainRoster announces this node on the roster and keeps reading the roster. It
// reads once before it announces: after all nodes have lost power, the store still
// has the earlier roster. A node that announced itself first would know no allowance
// pool for some 60 ms and refuse every request in that time.
func (e *Entry) maintainRoster(ctx context.Context) {
	if _, err := e.roster.Read(ctx); err != nil {
		e.config.Logger.Debug("failed to read roster from store", "cause", err)
	}
	e.roster.Announce(ctx)
	e.takeOverRetries(ctx)
	for round := 0; ctx.Err() == nil; round++ {
		if err := e.readRoster(ctx); err != nil {
			e.config.Logger.Debug("failed to read roster from store", "cause", err)
		}
		if e.roster.Missing() {
			e.roster.Announce(ctx)
		}
		wait := rosterInterval
		if round < rosterStartRounds {
			wait = rosterStartInterval
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// readRoster fetches the roster from the failure domain's reader, or reads the store.
func (e *Entry) readRoster(ctx context.Context) error {
	if reader, ok := e.reader(); ok && e.fetchRoster(ctx, reader.address) {
		return nil
	}
	if _, err := e.roster.Read(ctx); err != nil {
		return err
	}
	e.roster.Retire(ctx, e.isAlive)
	return nil
}

// fetchRoster fetches the roster from a peer and reports whether the peer had one.
// An instance that starts while the store does not answer knows no other instance
// until its own read times out, and until then has only a small fixed part of each
// allowance; without the peer's roster it would refuse callers that are well within
// their allowance for seconds.
func (e *Entry) fetchRoster(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var entries []roster.Entry
	if err := e.peerPool.Call(ctx, address, relayName+".Roster", struct{}{}, &entries); err != nil || len(entries) == 0 {
		e.config.Logger.Debug("failed to fetch roster from peer", "peer", address, "cause", err)
		return false
	}
	e.roster.Set(entries)
	return true
}

// isAlive reports whether an instance of this failure domain is a known member that
// is not declared dead.
func (e *Entry) isAlive(id string) bool {
	member, known := e.board.Members.Get(id)
	return known && !member.Dead
}

// Roster returns the entry instances that this node knows.
func (r *Relay) Roster(_ struct{}, reply *[]roster.Entry) error {
	*reply = r.roster.Entries()
	return nil
}
