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

// commandTimeout bounds one operator command.
const commandTimeout = 35 * time.Second

// RunCommand runs one of the binary's operator commands with a node's settings. The
// command reaches the node's listener without a link. It returns the command's
// output and exit code.
func (f *Fleet) RunCommand(n *Node, command []string, args ...string) (string, int) {
	f.tb.Helper()
	all := append(append([]string{}, command...), "-settings", n.settingsPath)
	p := Start(f.tb, "operator", append(all, args...)...)
	// The exit code has more detail than the error.
	_ = p.Wait(commandTimeout)
	return p.Logs(), p.command.ProcessState.ExitCode()
}

// Put changes the fleet's configuration through a node, from version base, and
// returns the reply and the exit code.
func (f *Fleet) Put(n *Node, base uint64, why string, change func(c *config.Config)) (rollout.PutReply, int) {
	f.tb.Helper()
	c := f.configuration()
	change(c)
	path := f.writeJSON(fmt.Sprintf("put-%s-%s.json", n.Name, why), c)
	out, code := f.RunCommand(n, []string{"config", "put"}, "-json", "-who", n.Name, "-why", why,
		"-base", strconv.FormatUint(base, 10), path)
	var reply rollout.PutReply
	if err := json.Unmarshal([]byte(out), &reply); err != nil {
		f.tb.Errorf("config put at %s: exit code %d: %s", n.Name, code, out)
	}
	return reply, code
}

// Status returns the output of zinniamast status for a node.
func (f *Fleet) Status(n *Node) operator.Status {
	f.tb.Helper()
	out, code := f.RunCommand(n, []string{"status"}, "-json")
	var status operator.Status
	if err := json.Unmarshal([]byte(out), &status); err != nil {
		f.tb.Errorf("status of %s: exit code %d: %s", n.Name, code, out)
	}
	return status
}

// SetKeys rewrites a node's settings with other keys, which its next start reads.
func (f *Fleet) SetKeys(n *Node, peers, operators []string) {
	f.tb.Helper()
	n.PeerKeys, n.OperatorKeys = peers, operators
	n.settingsPath = f.writeSettings(n)
}

var inForceMessage = regexp.MustCompile(`msg=config_in_force version=(\d+)`)

// Versions returns the configuration versions that a node's process has put in
// force, in the order of its log.
func (p *Process) Versions() []uint64 {
	var versions []uint64
	for _, match := range inForceMessage.FindAllStringSubmatch(p.Logs(), -1) {
		number, err := strconv.ParseUint(match[1], 10, 64)
		if err == nil {
			versions = append(versions, number)
		}
	}
	return versions
}

// Version returns the last version that a node's process has put in force, or zero
// before the first.
func (p *Process) Version() uint64 {
	versions := p.Versions()
	if len(versions) == 0 {
		return 0
	}
	return versions[len(versions)-1]
}

// WaitVersion waits until every running node has this version or a newer one in force.
func (f *Fleet) WaitVersion(number uint64) {
	f.tb.Helper()
	for _, n := range f.Nodes {
		f.WaitUntil(n.Name+" to have the version in force", func() bool { return n.Exited() || n.Version() >= number })
	}
}

// pollTimeout bounds one call of WaitUntil.
const pollTimeout = 40 * time.Second

// WaitUntil polls until done returns true. It fails the test after pollTimeout.
func (f *Fleet) WaitUntil(what string, done func() bool) {
	f.tb.Helper()
	deadline := time.Now().Add(pollTimeout)
	for !done() {
		if time.Now().After(deadline) {
			f.tb.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// StartUnauthorisedNode starts a process that is not a member of the fleet. It has
// the nodes' addresses and a peer key that none of them accepts.
func (f *Fleet) StartUnauthorisedNode(key string) *Node {
	f.tb.Helper()
	unauthorised := *f.Nodes[0]
	unauthorised.Name = "stranger"
	unauthorised.listenAddress = FreeAddress(f.tb)
	unauthorised.peerListenAddress = FreeAddress(f.tb)
	unauthorised.Peers = NewLink(f.tb, "stranger-peers", unauthorised.peerListenAddress)
	// The platform is unreachable for it too: nothing listens behind this link.
	unauthorised.Platform = NewLink(f.tb, "stranger-platform", FreeAddress(f.tb))
	f.SetKeys(&unauthorised, []string{key}, []string{key})
	f.StartNode(&unauthorised)
	return &unauthorised
}

// Secrets returns the credentials in every node's settings apart from its keys.
func (f *Fleet) Secrets() []string { return []string{secretKey} }

// WaitJoined waits until every node knows the members of its failure domain and the
// contacts of the others. A fleet that has just started is not joined yet.
func (f *Fleet) WaitJoined() {
	f.tb.Helper()
	const contacts = 3
	want := f.config.NodesPerDomain + (len(f.config.FailureDomains)-1)*min(contacts, f.config.NodesPerDomain)
	for _, n := range f.Nodes {
		f.WaitUntil(n.Name+" to know its peers", func() bool { return len(f.Status(n).Members) >= want })
	}
}
