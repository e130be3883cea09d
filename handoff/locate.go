package handoff

import (
	"context"
	"sync"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/caller"
	"zinniamast/request"
)

// EnterArgs asks a home to store an entry unless the name has another one.
type EnterArgs struct {
	Name  string
	Entry Entry
	// Replace stores the entry even if the name has another one.
	Replace bool
	// Forward asks a contact to forward the call to the home in its failure domain.
	Forward bool
	// Dead is a holder that the calling node could not reach; its entry is replaced.
	Dead string
}

// EnterReply holds the existing entry if it was not replaced.
type EnterReply struct {
	// Standing reports that the existing entry was kept.
	Standing bool
	Entry    Entry
	// Age is the time since the existing entry was stored.
	Age time.Duration
}

// Enter stores an entry in this node's directory unless the name has another
// entry that must be kept.
func (r *Receiver) Enter(args EnterArgs, reply *EnterReply) error {
	x := r.exchange
	if args.Forward {
		args.Forward = false
		return x.enterAt(x.config.Context, x.localHome(args.Name), args, reply)
	}
	existing, ok := x.directory.get(args.Name)
	isKept := ok && !args.Replace && existing.Holder != args.Entry.Holder && existing.Holder != args.Dead && x.isAlive(existing)
	if isKept {
		reply.Standing = true
		reply.Entry = existing
		reply.Age = time.Since(existing.entered)
		return nil
	}
	// A node that has handed a request over may still register itself because the
	// request lost its caller. If that late entry replaced the new holder's, the
	// caller would be directed to a node that has left and would receive
	// request_lost for a request that runs.
	if ok && existing.ID == args.Entry.ID && existing.Hops > args.Entry.Hops {
		return nil
	}
	x.directory.put(args.Name, args.Entry)
	return nil
}

// LookupArgs asks a home for the entry of a name.
type LookupArgs struct {
	Name string
	// Forward asks a contact to forward the call to the home in its failure domain.
	Forward bool
}

// LookupReply holds the entry, if there is one.
type LookupReply struct {
	Found bool
	Entry Entry
}

// Lookup reads an entry from this node's directory.
func (r *Receiver) Lookup(args LookupArgs, reply *LookupReply) error {
	x := r.exchange
	if args.Forward {
		args.Forward = false
		return x.lookupAt(x.config.Context, x.localHome(args.Name), args, reply)
	}
	entry, ok := x.directory.get(args.Name)
	reply.Found = ok && x.isAlive(entry)
	reply.Entry = entry
	return nil
}

const (
	// findAttempts bounds the lookups of a request, and initialFindBackoff is the
	// wait before the second one, which doubles for each further one. A caller that
	// lost its connection may reconnect before the node it was connected to has
	// noticed the loss and registered itself as the holder.
	findAttempts       = 4
	initialFindBackoff = 50 * time.Millisecond
)

// Find implements caller.Locator.
func (x *Exchange) Find(ctx context.Context, query caller.Query) request.Reader {
	backoff := initialFindBackoff
	for attempt := range findAttempts {
		if reader := x.findOnce(ctx, query); reader != nil {
			return reader
		}
		// Clients that retry without an ID usually wait before they do so, and
		// mostly their request was refused and runs nowhere; a second lookup would
		// only delay them.
		if attempt == findAttempts-1 || query.ID == "" {
			return nil
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			return nil
		}
		backoff *= 2
	}
	return nil
}

// findOnce queries the directory, then the node that accepted the request, and
// last the node that holds a copy which a dead giver has left.
func (x *Exchange) findOnce(ctx context.Context, query caller.Query) request.Reader {
	for _, name := range queryNames(query) {
		if entry, ok := x.lookup(ctx, name); ok && entry.Holder != x.config.Address {
			if reader := x.openReader(ctx, entry, query); reader != nil {
				return reader
			}
		}
	}
	acceptor, ok := x.config.Board.Members.Get(caller.Acceptor(query.ID))
	if ok && !acceptor.Dead && acceptor.ID != x.config.Node {
		reader := x.openReader(ctx, Entry{
			Holder: acceptor.Address,
			Node:   acceptor.ID,
			ID:     query.ID,
		}, query)
		if reader != nil {
			return reader
		}
	}
	if query.ID == "" {
		return nil
	}
	entry, ok := x.lookup(ctx, heldName(query.ID))
	if !ok || entry.Holder == x.config.Address {
		return nil
	}
	return x.openReader(ctx, entry, query)
}

// lookup queries both homes concurrently and returns the first entry found.
func (x *Exchange) lookup(ctx context.Context, name string) (Entry, bool) {
	homes := x.homes(name)
	replies := make(chan LookupReply, len(homes))
	for _, home := range homes {
		go func() {
			var reply LookupReply
			args := LookupArgs{
				Name:    name,
				Forward: home.forward,
			}
			if err := x.lookupAt(ctx, home.member, args, &reply); err != nil {
				x.logUnreachable(home, err)
			}
			replies <- reply
		}()
	}
	for range homes {
		if reply := <-replies; reply.Found {
			return reply.Entry, true
		}
	}
	return Entry{}, false
}

// openReader returns a reader of a request at its holder, or nil if the holder
// cannot be reached or does not have it.
func (x *Exchange) openReader(ctx context.Context, entry Entry, query caller.Query) request.Reader {
	query.ID = entry.ID
	var reply ReadReply
	err := x.call(ctx, entry.Holder, "Read", ReadArgs{
		Wants: []Want{newWant(query)},
	}, &reply)
	if err != nil || len(reply.Parts) == 1 && reply.Parts[0].Lost {
		return nil
	}
	return x.relayTo(entry.Holder).addReader(query)
}

// Follow implements caller.Locator.
func (x *Exchange) Follow(peer string, query caller.Query) request.Reader {
	return x.relayTo(peer).addReader(query)
}

// Enter implements caller.Locator. An entry whose holder cannot be reached is
// replaced. The holder may still be alive behind a broken link; a model request
// then runs twice, and each caller still receives one whole answer. Calls that
// must not be repeated are protected by claims in the table instead.
func (x *Exchange) Enter(ctx context.Context, query caller.Query) (request.Reader, *zinniamast.Refusal) {
	name := keyName(query)
	args := EnterArgs{
		Name:  name,
		Entry: x.newEntry(query),
	}
	existing, ok := x.enter(ctx, args)
	if !ok {
		return nil, nil
	}
	if existing.Fingerprint != query.Fingerprint {
		return nil, zinniamast.Refuse(zinniamast.ReasonKeyConflict, "key %q was used with another body", query.Key)
	}
	query.From = 0
	if reader := x.openReader(ctx, existing, query); reader != nil {
		return reader, nil
	}
	args.Dead = existing.Holder
	x.enter(ctx, args)
	return nil, nil
}

func (x *Exchange) newEntry(query caller.Query) Entry {
	hops := 0
	if q := x.config.Board.Requests.Get(query.ID); q != nil {
		hops = q.Hops()
	}
	return Entry{
		Hops:        hops,
		Holder:      x.config.Address,
		Node:        x.config.Node,
		ID:          query.ID,
		Fingerprint: query.Fingerprint,
	}
}

// raceWindow is the age from which an entry at the second home is accepted
// although the first home has none.
const raceWindow = time.Second

// enter writes an entry to both homes and returns the existing entry, if any.
//
// If a caller sends one key to two nodes at once, each node's entry may arrive
// first at a different home. If each node accepted the entry of the other from
// either home, both would leave the request to the other and none would run it.
// So the first home decides. The second home's entry is accepted only if the
// first home does not answer, or if the entry is older than raceWindow: then it
// is not such a race, but the first home is new and does not have the key yet.
func (x *Exchange) enter(ctx context.Context, args EnterArgs) (Entry, bool) {
	homes := x.homes(args.Name)
	replies := make([]EnterReply, len(homes))
	failed := make([]bool, len(homes))
	var group sync.WaitGroup
	for i, home := range homes {
		group.Go(func() {
			args := args
			args.Forward = home.forward
			if err := x.enterAt(ctx, home.member, args, &replies[i]); err != nil {
				failed[i] = true
				x.logUnreachable(home, err)
			}
		})
	}
	group.Wait()
	for i, reply := range replies {
		decides := i == 0 || failed[0] || reply.Age > raceWindow
		if reply.Standing && decides {
			return reply.Entry, true
		}
	}
	return Entry{}, false
}

// lookupAt reads an entry at a member, which may be this node.
func (x *Exchange) lookupAt(ctx context.Context, member blackboard.Member, args LookupArgs, reply *LookupReply) error {
	if member.ID == x.config.Node {
		return x.Receiver().Lookup(args, reply)
	}
	return x.call(ctx, member.Address, "Lookup", args, reply)
}

// enterAt writes an entry at a member, which may be this node.
func (x *Exchange) enterAt(ctx context.Context, member blackboard.Member, args EnterArgs, reply *EnterReply) error {
	if member.ID == x.config.Node {
		return x.Receiver().Enter(args, reply)
	}
	return x.call(ctx, member.Address, "Enter", args, reply)
}

// logUnreachable logs that a home could not be reached.
func (x *Exchange) logUnreachable(home home, err error) {
	x.config.Logger.Debug("directory home unreachable",
		"home", home.member.ID,
		"cause", err)
}

// registerTimeout bounds the registration of one request at its homes.
const registerTimeout = 2 * time.Second

// RegisterOrphan implements caller.Locator.
func (x *Exchange) RegisterOrphan(query caller.Query) {
	q := x.config.Board.Requests.Get(query.ID)
	if q == nil || q.State() == request.StateMoved {
		return
	}
	query.Orphan = true
	go x.register(query)
}

// register records this node as the holder under every name of a request.
func (x *Exchange) register(query caller.Query) {
	ctx, cancel := context.WithTimeout(x.config.Context, registerTimeout)
	defer cancel()
	for _, name := range queryNames(query) {
		x.enter(ctx, EnterArgs{
			Name:    name,
			Entry:   x.newEntry(query),
			Replace: true,
		})
	}
}

// registerHeld records this node as the holder of a copy.
func (x *Exchange) registerHeld(copied request.Snapshot) {
	ctx, cancel := context.WithTimeout(x.config.Context, registerTimeout)
	defer cancel()
	x.enter(ctx, EnterArgs{
		Name: heldName(copied.Call.ID),
		Entry: Entry{
			Hops:        copied.Hops + 1,
			Holder:      x.config.Address,
			Node:        x.config.Node,
			ID:          copied.Call.ID,
			Fingerprint: copied.Call.Fingerprint,
		},
		Replace: true,
	})
}
