package processtest

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"time"

	"zinniamast/config"
	"zinniamast/operator"
	"zinniamast/rollout"
)

// operateTimeout bounds one operator's command.
const operateTimeout = 35 * time.Second

// Operate runs one of the binary's commands for operators against a node,
// whose listener it reaches without a link. It returns what the command
// printed and its exit code.
func (f *Fleet) Operate(n *Node, command []string, args ...string) (string, int) {
	f.tb.Helper()
	all := append(append([]string{}, command...), "-settings", n.settings)
	p := Start(f.tb, "operator", append(all, args...)...)
	// The exit code says more than the error.
	_ = p.Wait(operateTimeout)
	return p.Logs(), p.command.ProcessState.ExitCode()
}

// Put changes the fleet's configuration through a node, from version base, and
// returns the reply and the exit code.
func (f *Fleet) Put(n *Node, base uint64, why string, change func(c *config.Config)) (rollout.PutReply, int) {
	f.tb.Helper()
	c := f.configuration()
	change(c)
	path := f.writeJSON(fmt.Sprintf("put-%s-%s.json", n.Name, why), c)
	out, code := f.Operate(n, []string{"config", "put"}, "-json", "-who", n.Name, "-why", why,
		"-base", strconv.FormatUint(base, 10), path)
	var reply rollout.PutReply
	if err := json.Unmarshal([]byte(out), &reply); err != nil {
		f.tb.Errorf("config put at %s: exit code %d: %s", n.Name, code, out)
	}
	return reply, code
}

// Status returns what zinniamast status shows of a node.
func (f *Fleet) Status(n *Node) operator.Status {
	f.tb.Helper()
	out, code := f.Operate(n, []string{"status"}, "-json")
	var status operator.Status
	if err := json.Unmarshal([]byte(out), &status); err != nil {
		f.tb.Errorf("status of %s: exit code %d: %s", n.Name, code, out)
	}
	return status
}

// SetKeys writes a node's settings anew; its next start takes them.
func (f *Fleet) SetKeys(n *Node, peers, operators []string) {
	f.tb.Helper()
	n.PeerKeys, n.OperatorKeys = peers, operators
	n.settings = f.writeSettings(n)
}

var inForce = regexp.MustCompile(`msg=config_in_force version=(\d+)`)

// Versions returns the configuration versions that a node's process has put in
// force, in their order.
func (p *Process) Versions() []uint64 {
	var versions []uint64
	for _, match := range inForce.FindAllStringSubmatch(p.Logs(), -1) {
		number, err := strconv.ParseUint(match[1], 10, 64)
		if err == nil {
			versions = append(versions, number)
		}
	}
	return versions
}

// Version is the newest version in force at a node's process, zero before the first.
func (p *Process) Version() uint64 {
	versions := p.Versions()
	if len(versions) == 0 {
		return 0
	}
	return versions[len(versions)-1]
}

// WaitVersion waits until every node that runs has a version in force.
func (f *Fleet) WaitVersion(number uint64) {
	f.tb.Helper()
	for _, n := range f.Nodes {
		f.WaitUntil(n.Name+" to have the version in force", func() bool { return n.Exited() || n.Version() >= number })
	}
}

// waitUntil bounds one wait for something that must come to pass.
const waitUntil = 40 * time.Second

// WaitUntil polls until done says so; it fails the test if that takes too long.
func (f *Fleet) WaitUntil(what string, done func() bool) {
	f.tb.Helper()
	deadline := time.Now().Add(waitUntil)
	for !done() {
		if time.Now().After(deadline) {
			f.tb.Fatalf("waited in vain for %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// StartStranger starts a process that is no member of the fleet: it knows the
// nodes' addresses and a peer key that none of them believes.
func (f *Fleet) StartStranger(key string) *Node {
	f.tb.Helper()
	stranger := *f.Nodes[0]
	stranger.Name = "stranger"
	stranger.listen = FreeAddress(f.tb)
	stranger.peerListen = FreeAddress(f.tb)
	stranger.Peers = NewLink(f.tb, "stranger-peers", stranger.peerListen)
	// It has no way to the platform either.
	stranger.Platform = NewLink(f.tb, "stranger-platform", FreeAddress(f.tb))
	f.SetKeys(&stranger, []string{key}, []string{key})
	f.StartNode(&stranger)
	return &stranger
}

// Secrets are the credentials in every node's settings beside its keys.
func (f *Fleet) Secrets() []string { return []string{secretKey} }

// WaitJoined waits until every node knows its failure domain and the contacts
// of the others; a fleet that has just started does not yet.
func (f *Fleet) WaitJoined() {
	f.tb.Helper()
	const contacts = 3
	want := f.config.NodesEach + (len(f.config.FailureDomains)-1)*min(contacts, f.config.NodesEach)
	for _, n := range f.Nodes {
		f.WaitUntil(n.Name+" to know its peers", func() bool { return len(f.Status(n).Members) >= want })
	}
}
