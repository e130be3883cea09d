package zinniamast

import "time"

// Topic is a kind of gossip item.
type Topic string

// The topics that nodes publish.
const (
	// TopicUpstreamLeaving reports that an upstream accepts no new requests. The key is its ID.
	TopicUpstreamLeaving Topic = "upstream_leaving"
	// TopicUpstreamGone reports that an upstream no longer exists.
	TopicUpstreamGone Topic = "upstream_gone"
	// TopicCrash reports that a replica crashed. The key is its ID.
	TopicCrash Topic = "crash"
	// TopicQuarantine reports requests that were quarantined or released.
	TopicQuarantine Topic = "quarantine"
	// TopicPromptPart reports prompt parts that may have crashed a replica, whose ID is the
	// key, and those that have proved sound.
	TopicPromptPart Topic = "prompt_part"
	// TopicRateLimit reports the rate limit that a replica names. The key is its ID.
	TopicRateLimit Topic = "rate_limit"
	// TopicUsage reports an organisation's usage at one node.
	TopicUsage Topic = "usage"
	// TopicCircuit reports the state of one node's circuit breaker for an upstream.
	TopicCircuit Topic = "circuit"
	// TopicDemand reports the demand for each service at one node or in one failure domain.
	TopicDemand Topic = "demand"
	// TopicLoad reports one node's in-flight requests at upstreams.
	TopicLoad Topic = "load"
	// TopicQueue reports the work that a node, the key, is asked for at services whose capacity is
	// short.
	TopicQueue Topic = "queue"
	// TopicRollout reports how far a rollout of a software version is. The key is the service.
	TopicRollout Topic = "rollout"
	// TopicVersionVerdict reports a software version that proved bad. The key is the service.
	TopicVersionVerdict Topic = "version_verdict"
)

// Gossip spreads small items between nodes within a few hundred milliseconds
// and repeats each with every heartbeat until it expires.
type Gossip interface {
	// Publish sends an item to the nodes of the failure domain, or to all nodes if
	// AllDomains is set.
	Publish(item GossipItem)
	// Subscribe calls f for each received item that is newer than the last one of
	// the same topic, key and origin. f must not block.
	Subscribe(topic Topic, f func(item GossipItem))
}

// GossipItem is one gossip item. A later item of the same topic, key and origin replaces it.
type GossipItem struct {
	Topic Topic
	Key   string
	// Value is the content, at most MaxGossipValueBytes bytes.
	Value []byte
	// Origin is the node that published the item. Publish sets it.
	Origin string
	// Sequence orders the items of one origin. Publish sets it.
	Sequence uint64
	// Expires is the time after which nodes drop the item.
	Expires time.Time
	// AllDomains means that the item is also sent to other failure domains.
	AllDomains bool
}

// MaxGossipValueBytes is the maximum size of one item's value, in bytes.
const MaxGossipValueBytes = 1024
