package rollout

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"zinniamast/blackboard"
)

// Timeouts and concurrency of pushes.
const (
	pushTimeout       = 2 * time.Second
	pushRetryInterval = 250 * time.Millisecond
	// relayTimeout leaves time within confirmTimeout to try three more contacts
	// of a failure domain if the first ones do not answer.
	relayTimeout        = 1500 * time.Millisecond
	maxConcurrentPushes = 16
)

// NodeVersion is the version that one node has in force.
type NodeVersion struct {
	Node          string `json:"node"`
	FailureDomain string `json:"failure_domain"`
	// Number is the version in force; zero if the node did not answer.
	Number uint64 `json:"number"`
	// Since is when it came into force, by the node's own clock.
	Since time.Time `json:"since"`
	// After is the time from the start of the push to the node's answer.
	After time.Duration `json:"after"`
	// Current reports whether the node has recently confirmed with the table
	// that its version is the newest.
	Current bool `json:"current"`
	// Dead reports that the node was declared dead before the push, so that a
	// put does not wait for it. A node that is only partitioned still serves an
	// older version.
	Dead bool `json:"dead,omitempty"`
	// Error says why the node has no newer version or did not answer.
	Error string `json:"error,omitempty"`
}

// spread queries every live node for its version and delivers the entry if
// there is one. Nodes that do not answer are retried until the context ends.
func (r *Rollout) spread(ctx context.Context, entry *Entry) []NodeVersion {
	start := time.Now()
	p := push{}
	if entry != nil {
		p = r.preparePush(entry)
	}
	var mu sync.Mutex
	all := []NodeVersion{r.localVersion()}
	add := func(answers []NodeVersion) {
		mu.Lock()
		defer mu.Unlock()
		for _, answer := range answers {
			answer.After += time.Since(start)
			all = append(all, answer)
		}
	}
	var pending sync.WaitGroup
	pending.Add(1)
	go func() {
		defer pending.Done()
		add(r.spreadLocalDomain(ctx, p))
	}()
	for domain, contacts := range r.remoteContacts() {
		pending.Add(1)
		go func() {
			defer pending.Done()
			add(r.spreadRemoteDomain(ctx, p.forRelay(), domain, contacts))
		}()
	}
	pending.Wait()
	slices.SortFunc(all, func(a, b NodeVersion) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Node, b.Node))
	})
	return all
}

// spreadLocalDomain pushes to the live members of this failure domain and lists
// the dead ones.
func (r *Rollout) spreadLocalDomain(ctx context.Context, p push) []NodeVersion {
	members := r.localMembers()
	answers := make([]NodeVersion, len(members))
	slots := make(chan struct{}, maxConcurrentPushes)
	var pending sync.WaitGroup
	for i, member := range members {
		if member.Dead {
			answers[i] = declaredDead(member)
			continue
		}
		pending.Add(1)
		go func() {
			defer pending.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			answers[i] = r.pushToMember(ctx, p, member)
		}()
	}
	pending.Wait()
	return answers
}

// localMembers returns the other members of this failure domain that have not
// left.
func (r *Rollout) localMembers() []blackboard.Member {
	var members []blackboard.Member
	for _, member := range r.config.Board.Members.All() {
		if member.FailureDomain == r.config.FailureDomain && member.ID != r.config.Node {
			members = append(members, member)
		}
	}
	return members
}

// pushToMember pushes to one member until it answers, is declared dead or the
// context ends.
func (r *Rollout) pushToMember(ctx context.Context, p push, member blackboard.Member) NodeVersion {
	reply, err := r.send(ctx, p, member.Address)
	for err != nil && waitRetry(ctx) {
		if known, ok := r.config.Board.Members.Get(member.ID); !ok || known.Dead {
			break
		}
		reply, err = r.send(ctx, p, member.Address)
	}
	if err != nil || len(reply.Nodes) == 0 {
		return unanswered(member.ID, member.FailureDomain, err)
	}
	return reply.Nodes[0]
}

// send sends the delta form of a push, and then the full form if the node turns
// out not to have the base version.
func (r *Rollout) send(ctx context.Context, p push, address string) (SpreadReply, error) {
	var reply SpreadReply
	err := r.call(ctx, address, p.delta, &reply)
	if err != nil || p.delta.Difference == nil || len(reply.Nodes) > 0 && reply.Nodes[0].Number >= p.version() {
		return reply, err
	}
	reply = SpreadReply{}
	err = r.call(ctx, address, p.full, &reply)
	return reply, err
}

// spreadRemoteDomain pushes to another failure domain through one of its
// contacts, which relays to all members. The contacts rotate with the version
// number and with each attempt.
func (r *Rollout) spreadRemoteDomain(ctx context.Context, p push, domain string, contacts []blackboard.Member) []NodeVersion {
	var last []NodeVersion
	var tried []string
	for i := p.version(); ; i++ {
		// A node that has just joined knows only one contact of a domain, which
		// may be the one that does not answer; it learns of the others within
		// seconds.
		if known := r.remoteContacts()[domain]; len(known) > 0 {
			contacts = known
		}
		contact := contacts[i%uint64(len(contacts))]
		if !slices.Contains(tried, contact.ID) {
			tried = append(tried, contact.ID)
		}
		reply, err := r.send(ctx, p, contact.Address)
		if err == nil {
			done := allHaveVersion(reply.Nodes, p.version())
			last = keepPending(last, reply.Nodes)
			if done {
				return last
			}
		}
		if waitRetry(ctx) {
			continue
		}
		if last != nil {
			// The last contact may be the one that is partitioned; the answer
			// of an earlier contact for the domain is still valid.
			return last
		}
		return []NodeVersion{unanswered("", domain, fmt.Errorf("%w; asked %s", err, strings.Join(tried, ", ")))}
	}
}

// keepPending returns the newer answers. A node that did not answer and was
// then declared dead stays pending: it may only be partitioned, and would serve
// the old version while the operator reads "in force".
func keepPending(earlier, latest []NodeVersion) []NodeVersion {
	for i := range latest {
		wasPending := func(n NodeVersion) bool { return n.Node == latest[i].Node && !n.Dead }
		latest[i].Dead = latest[i].Dead && !slices.ContainsFunc(earlier, wasPending)
	}
	return latest
}

// allHaveVersion reports whether every node that is not declared dead has at
// least the given version.
func allHaveVersion(nodes []NodeVersion, number uint64) bool {
	return !slices.ContainsFunc(nodes, func(n NodeVersion) bool { return n.Number < number && !n.Dead })
}

func declaredDead(member blackboard.Member) NodeVersion {
	return NodeVersion{
		Node:          member.ID,
		FailureDomain: member.FailureDomain,
		Dead:          true,
		Error:         "declared dead; if only cut off, it serves an older version",
	}
}

func unanswered(node, domain string, err error) NodeVersion {
	text := "no answer"
	if err != nil {
		text = err.Error()
	}
	return NodeVersion{
		Node:          node,
		FailureDomain: domain,
		Error:         text,
	}
}

func (r *Rollout) call(ctx context.Context, address string, message Spread, reply *SpreadReply) error {
	timeout := pushTimeout
	if message.Relay {
		timeout = relayTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return r.config.Transport.Call(ctx, address, ServiceName+".Spread", message, reply)
}

// waitRetry waits before the next attempt and reports whether the context is
// still active.
func waitRetry(ctx context.Context) bool {
	return sleep(ctx, pushRetryInterval)
}

// sleep waits for a duration and reports whether the context is still active.
func sleep(ctx context.Context, duration time.Duration) bool {
	timeout, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	<-timeout.Done()
	return ctx.Err() == nil
}

// remoteContacts returns the known contacts in other failure domains, by
// domain.
func (r *Rollout) remoteContacts() map[string][]blackboard.Member {
	domains := map[string][]blackboard.Member{}
	for _, member := range r.config.Board.Members.All() {
		if member.FailureDomain != r.config.FailureDomain {
			domains[member.FailureDomain] = append(domains[member.FailureDomain], member)
		}
	}
	return domains
}

// localVersion returns the version that this node has in force.
func (r *Rollout) localVersion() NodeVersion {
	current := r.IsCurrent()
	r.mu.Lock()
	defer r.mu.Unlock()
	own := NodeVersion{
		Node:          r.config.Node,
		FailureDomain: r.config.FailureDomain,
		Current:       current,
		Error:         r.failure,
	}
	if version := r.config.Board.Configuration.Current(); version != nil {
		own.Number = version.Number
		own.Since = version.Since
	}
	return own
}
