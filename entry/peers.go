package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"time"

	"zinniamast/canary"
	"zinniamast/membership"
	"zinniamast/peer"
	"zinniamast/registry"
	"zinniamast/roster"
	"zinniamast/routes"
)

// openPeers opens the peer listener and the peer pools and builds the membership.
func (e *Entry) openPeers() error {
	s := e.config.Settings
	keys := []string{deploymentKey(s.CloudAddress)}
	var err error
	e.peerServer, err = peer.NewServer(peer.ServerConfig{
		Listen:     s.Peer,
		PeerKeys:   keys,
		Logger:     e.config.Logger,
		Registerer: e.registry,
	})
	if err != nil {
		return wrapPeerError(err)
	}
	for _, pool := range []**peer.Pool{&e.peerPool, &e.longPollPool} {
		*pool, err = peer.NewPool(peer.PoolConfig{
			Keys: keys,
		})
		if err != nil {
			return wrapPeerError(err)
		}
	}
	e.members = membership.New(membership.Config{
		ID:            s.Instance,
		FailureDomain: s.FailureDomain,
		Address:       s.Peer,
		Weight:        1,
		Seeds:         s.Seeds,
		List:          e.roster,
		SeedInterval:  seedInterval,
		Members:       e.board.Members,
		Transport: membership.RPC{
			Pool: e.peerPool,
		},
		Logger:        e.config.Logger,
		ConfigVersion: e.configVersion,
		OnNewerConfig: e.fetchConfig,
	})
	e.buildRollouts()
	return errors.Join(
		e.peerServer.RegisterPeer(membership.ServiceName, e.members.Receiver()),
		e.peerServer.RegisterPeer(allowanceName, &PoolReceiver{
			fleetPool:  e.fleetPool,
			domainPool: e.domainPool,
		}),
		e.peerServer.RegisterPeer(relayName, e.newRelay()),
	)
}

// seedInterval is how often nodes that are on the roster but not yet members are
// contacted. The roster is held locally, so a short interval is cheap.
const seedInterval = 2 * time.Second

// deploymentKey returns the key that nodes of one deployment prove to each other,
// derived from the cloud's address. It separates deployments, each of which has its
// own cloud, but is no protection against strangers: the platform's network lets
// only instances of the fleet reach the peer listener, and gives nodes no common
// secret. It does not need the store, so a node that starts during an outage of the
// store can join.
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

// relayName is the RPC service name under which nodes forward the store's contents
// to each other.
const relayName = "Relay"

// relayTimeout bounds fetching the configuration from a peer.
const relayTimeout = 2 * time.Second

// Relay serves this node's copy of the store's contents to peers. The store may
// refuse single nodes while it serves others, and only few nodes follow it.
type Relay struct {
	routes   *routes.Table
	follower *registry.Follower
	roster   *roster.Roster
	rollouts *canary.Canary
}

func (e *Entry) newRelay() *Relay {
	return &Relay{
		routes:   e.routes,
		follower: e.follower,
		roster:   e.roster,
		rollouts: e.rollouts,
	}
}

// Current returns the configuration in force, or version 0 if there is none.
func (r *Relay) Current(_ struct{}, reply *routes.Config) error {
	if current := r.routes.Current(); current != nil {
		*reply = *current
	}
	return nil
}

// Known returns the replicas that this node knows.
func (r *Relay) Known(_ struct{}, reply *registry.ReplicaChanges) error {
	*reply = r.follower.Replicas()
	return nil
}

// KnowsReplicas reports whether Known returns the replicas.
func (r *Relay) KnowsReplicas(_ struct{}, reply *bool) error {
	*reply = r.follower.KnowsReplicas()
	return nil
}

const (
	// fetchInterval is how often a starting node queries its peers for the rollouts, and
	// fetchTimeout bounds one such query. Querying another peer is quicker than waiting for
	// one that is about to stop.
	fetchInterval = 200 * time.Millisecond
	fetchTimeout  = 500 * time.Millisecond
	// maxConcurrentFetches bounds the peers that are queried at one time.
	maxConcurrentFetches = 3
)

// buildSeeder builds the seeder of the replicas from peers.
func (e *Entry) buildSeeder() {
	e.seeder = registry.NewSeeder(registry.SeederConfig{
		Follower: e.follower,
		Peers:    e.randomPeers,
		Knows:    e.askForReplicas,
		Fetch: func(ctx context.Context, address string) (registry.ReplicaChanges, error) {
			var known registry.ReplicaChanges
			err := e.peerPool.Call(ctx, address, relayName+".Known", struct{}{}, &known)
			return known, err
		},
		Logger: e.config.Logger,
	})
}

// askForReplicas asks a peer whether it knows the replicas. A peer of an earlier version of
// the program that answers without knowing the question is taken for one that does.
func (e *Entry) askForReplicas(ctx context.Context, address string) (bool, error) {
	var knows bool
	err := e.peerPool.Call(ctx, address, relayName+".KnowsReplicas", struct{}{}, &knows)
	var remote *peer.RemoteError
	if errors.As(err, &remote) {
		return true, nil
	}
	return knows, err
}

// randomPeers returns the addresses of a few live peers, chosen at random.
func (e *Entry) randomPeers() []string {
	var addresses []string
	for _, member := range e.board.Members.All() {
		if member.ID != e.config.Settings.Instance && !member.Dead && !member.Leaving {
			addresses = append(addresses, member.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), maxConcurrentFetches)]
}

// fetchConfig fetches the configuration from a peer that announces a newer one. Every message
// of such a peer announces it, so that the fetches in progress are bounded.
func (e *Entry) fetchConfig(address string, version uint64) {
	select {
	case e.configFetches <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-e.configFetches }()
		ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
		defer cancel()
		var config routes.Config
		if err := e.peerPool.Call(ctx, address, relayName+".Current", struct{}{}, &config); err != nil {
			e.config.Logger.Debug("failed to fetch configuration from peer", "peer", address, "cause", err)
			return
		}
		if config.Version > 0 && e.routes.Apply(&config) {
			e.config.Logger.Info("applied configuration from peer", "version", config.Version, "peer", address, "announced", version)
		}
		e.seeder.FetchFrom(ctx, address)
		if len(e.roster.Instances()) == 0 {
			e.fetchRoster(ctx, address)
		}
	}()
}
