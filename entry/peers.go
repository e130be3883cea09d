package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"zinniamast/membership"
	"zinniamast/peer"
	"zinniamast/registry"
	"zinniamast/roster"
	"zinniamast/routes"
)

// openPeers opens the listener for other nodes and takes part in membership.
func (e *Entry) openPeers() error {
	s := e.config.Settings
	keys := []string{deploymentKey(s.CloudAddress)}
	var err error
	e.peers, err = peer.NewServer(peer.ServerConfig{
		Listen:     s.Peer,
		PeerKeys:   keys,
		Logger:     e.config.Logger,
		Registerer: e.registry,
	})
	if err != nil {
		return errPeers(err)
	}
	for _, pool := range []**peer.Pool{&e.pool, &e.follow} {
		*pool, err = peer.NewPool(peer.PoolConfig{
			Keys: keys,
		})
		if err != nil {
			return errPeers(err)
		}
	}
	e.members = membership.New(membership.Config{
		ID:            s.Instance,
		FailureDomain: s.FailureDomain,
		Address:       s.Peer,
		Weight:        1,
		Seeds:         s.Seeds,
		List:          e.roster,
		SeedInterval:  joinInterval,
		Members:       e.board.Members,
		Transport: membership.RPC{
			Pool: e.pool,
		},
		Logger:        e.config.Logger,
		ConfigVersion: e.configVersion,
		OnNewerConfig: e.newerConfig,
	})
	return errors.Join(
		e.peers.RegisterPeer(membership.ServiceName, e.members.Receiver()),
		e.peers.RegisterPeer(allowanceName, &Pools{
			pool:       e.pools,
			domainPool: e.domainPool,
		}),
		e.peers.RegisterPeer(relayName, e.newRelay()),
	)
}

// joinInterval is how often nodes that are on the roster and not known are
// asked: the roster is at hand.
const joinInterval = 2 * time.Second

// deploymentKey is what nodes of one deployment prove to each other. It keeps
// deployments apart, each of which has its own cloud, and not strangers out: the
// platform's network lets only machines of the fleet reach the peer listener,
// and gives nodes no common secret. It needs no store, so that a node that starts
// during the store's outage can join.
func deploymentKey(cloud string) string {
	sum := sha256.Sum256([]byte("zinniamast " + cloud))
	return hex.EncodeToString(sum[:])
}

func (e *Entry) configVersion() uint64 {
	if current := e.routes.Current(); current != nil {
		return uint64(current.Version)
	}
	return 0
}

// relayName is the name under which nodes tell each other what the store holds.
const relayName = "Relay"

// relayTimeout bounds fetching the configuration from a peer.
const relayTimeout = 2 * time.Second

// Relay tells peers what this node knows of the store: the store may turn
// single nodes away while it serves the others, and few nodes follow it.
type Relay struct {
	routes   *routes.Table
	follower *registry.Follower
	roster   *roster.Roster
}

func (e *Entry) newRelay() *Relay {
	return &Relay{
		routes:   e.routes,
		follower: e.follower,
		roster:   e.roster,
	}
}

// Current answers with the configuration in force; version 0 where there is none.
func (r *Relay) Current(_ struct{}, reply *routes.Config) error {
	if current := r.routes.Current(); current != nil {
		*reply = *current
	}
	return nil
}

// Known answers with the entries known here.
func (r *Relay) Known(_ struct{}, reply *registry.ReplicaChanges) error {
	*reply = r.follower.Replicas()
	return nil
}

const (
	// askInterval is how often a node that is not ready asks its peers.
	askInterval = 200 * time.Millisecond
	// borrowTimeout bounds one such question; another peer answers sooner than one
	// that is about to stop.
	borrowTimeout = 500 * time.Millisecond
	// askedAtOnce bounds the peers asked at a time: the answer of each names all
	// replicas, and in a large fleet there are hundreds of peers.
	askedAtOnce = 3
)

// borrow asks some peers at a time for the replicas until this node knows them.
//
// Failure: instances are restarted in turn while the store is away. One that
// starts has the configuration from a neighbour at once, and callers come; it
// asked one peer after the other for the replicas, of which some had just
// stopped, and refused all for a second and a half.
func (e *Entry) borrow(ctx context.Context) {
	for !e.follower.Ready() {
		var asked sync.WaitGroup
		for _, address := range e.somePeers() {
			asked.Go(func() { e.borrowFrom(ctx, address) })
		}
		asked.Wait()
		select {
		case <-time.After(askInterval):
		case <-ctx.Done():
			return
		}
	}
}

// somePeers draws the addresses of a few living peers.
func (e *Entry) somePeers() []string {
	var addresses []string
	for _, member := range e.board.Members.All() {
		if member.ID != e.config.Settings.Instance && !member.Dead && !member.Leaving {
			addresses = append(addresses, member.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), askedAtOnce)]
}

func (e *Entry) borrowFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	var known registry.ReplicaChanges
	if err := e.pool.Call(ctx, address, relayName+".Known", struct{}{}, &known); err != nil {
		e.config.Logger.Debug("replicas not fetched", "peer", address, "cause", err)
		return
	}
	if !e.follower.Ready() {
		e.follower.Seed(known)
	}
}

// newerConfig fetches the configuration of a peer that has a newer one.
func (e *Entry) newerConfig(address string, version uint64) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
		defer cancel()
		var config routes.Config
		if err := e.pool.Call(ctx, address, relayName+".Current", struct{}{}, &config); err != nil {
			e.config.Logger.Debug("configuration not fetched", "peer", address, "cause", err)
			return
		}
		if config.Version > 0 && e.routes.Apply(&config) {
			e.config.Logger.Info("configuration in force", "version", config.Version, "peer", address, "announced", version)
		}
		if !e.follower.Ready() {
			e.borrowFrom(ctx, address)
		}
		if len(e.roster.Instances()) == 0 {
			e.borrowRoster(ctx, address)
		}
	}()
}
