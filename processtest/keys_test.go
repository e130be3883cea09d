package processtest_test

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/checker"
	"zinniamast/load"
	"zinniamast/operator"
	"zinniamast/processtest"
)

// Keys of a rotation and of a stranger.
const (
	newPeerKey     = "new-peer-key-new-peer-key-new-peer-key"
	newOperatorKey = "new-operator-key-new-operator-key-new"
	strangerKey    = "stranger-key-stranger-key-stranger-key"
)

// TestKeyRotation rotates peer and operator keys under load by the steps of
// docs/operators/keys.md: three rounds of graceful restarts, one node after the
// other, each list holding old and new while any node needs both. Every model
// request is whole, no booking is lost or doubled, and a stranger's key and, at
// the end, the old keys are refused.
func TestKeyRotation(t *testing.T) {
	is := is.New(t)
	fleet := start(t, processtest.FleetConfig{
		StopTimeout: 3 * time.Second,
	})
	oldPeers, oldOperators := fleet.Nodes[0].PeerKeys, fleet.Nodes[0].OperatorKeys
	both := func(first, second []string) []string { return append(append([]string{}, first...), second...) }
	newPeers, newOperators := []string{newPeerKey}, []string{newOperatorKey}
	rounds := []struct{ peers, operators []string }{
		{peers: both(oldPeers, newPeers), operators: both(oldOperators, newOperators)},
		{peers: both(newPeers, oldPeers), operators: both(newOperators, oldOperators)},
		{peers: newPeers, operators: newOperators},
	}
	driven := fleet.Drive(load.Config{
		Rate:     15,
		For:      12 * time.Second,
		Seed:     21,
		Deadline: 30 * time.Second,
		Mix: load.Mix{
			checker.KindQuestion: 2,
			checker.KindBooking:  1,
		},
	})
	began := time.Now()
	for _, round := range rounds {
		for _, n := range fleet.Nodes {
			n.Terminate()
			is.NoErr(n.Wait(15 * time.Second))
			fleet.SetKeys(n, round.peers, round.operators)
			fleet.StartNode(n)
			fleet.WaitReady()
			is.True(!operates(t, n, strangerKey))
			is.True(operates(t, n, round.operators[0]))
		}
	}
	t.Logf("nine restarts in %v", time.Since(began))
	allWhole(t, driven.Report())
	is.Equal(fleet.Ledger.KeysRunTwice(), nil)
	is.True(!operates(t, fleet.Nodes[0], oldOperators[0]))
	for _, n := range fleet.Nodes {
		refusesStrangers(t, n, oldPeers[0])
		keepsSecrets(t, fleet, n)
	}
}

// TestStrangers lets a stranger on the network try to join, order, configure
// and read: by a process with a wrong peer key, by operators' commands with a
// wrong key, by plain HTTP, by bytes without TLS, and by TLS without a proof.
// Nothing of it is answered, no node knows of it afterwards, and no log shows
// a key.
func TestStrangers(t *testing.T) {
	is := is.New(t)
	fleet := start(t, processtest.FleetConfig{})
	stranger := fleet.StartStranger(strangerKey)
	for _, n := range fleet.Nodes {
		refusesStrangers(t, n, strangerKey)
		// A peer's key is not an operator's.
		is.True(!operates(t, n, n.PeerKeys[0]))
	}
	fleet.WaitUntil("a node to refuse the stranger", func() bool {
		for _, n := range fleet.Nodes {
			if strings.Contains(n.Logs(), "peer_connection_refused") {
				return true
			}
		}
		return false
	})
	is.Equal(stranger.Versions(), nil) // it learned no configuration
	for _, n := range fleet.Nodes {
		for _, member := range fleet.Status(n).Members {
			is.True(member.ID != stranger.Name)
		}
		keepsSecrets(t, fleet, n)
	}
	status, _ := post(t, fleet.Nodes[0].Direct, "k")
	is.Equal(status, http.StatusOK)
	is.Equal(send(t, http.MethodPost, fleet.Nodes[0].Direct+"/v1/chat/completions", "", "{}").status, http.StatusBadRequest)
}

// operates says whether an operator's key is believed by a node.
func operates(t *testing.T, n *processtest.Node, key string) bool {
	t.Helper()
	client, err := operator.NewClient(operator.ClientConfig{
		Addresses: []string{n.Peers.Address()},
		Key:       key,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	_, err = client.Status(t.Context())
	return err == nil
}

// refusesStrangers tries each way into a node's peer listener.
func refusesStrangers(t *testing.T, n *processtest.Node, key string) {
	t.Helper()
	if operates(t, n, key) {
		t.Errorf("%s believes a stranger's key", n.Name)
	}
	if response, err := http.Get(n.Peers.URL() + "/status"); err == nil {
		_ = response.Body.Close()
		t.Errorf("%s answers plain HTTP with %d", n.Name, response.StatusCode)
	}
	plain, err := net.Dial("tcp", n.Peers.Address())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := plain.Write([]byte("zmp1 without TLS, long enough for a hello of any kind\n\n")); err != nil {
		t.Error(err)
	}
	closesWithoutAnswer(t, n, plain)
	secured, err := tls.Dial("tcp", n.Peers.Address(), &tls.Config{InsecureSkipVerify: true})
	if err != nil {
		return
	}
	// A hello of the right size whose proof is wrong.
	if _, err := secured.Write([]byte("zmp1\x01" + strings.Repeat("x", 32))); err != nil {
		t.Error(err)
	}
	closesWithoutAnswer(t, n, secured)
}

// maxRefusal bounds what a refused connection may carry: a TLS alert or the
// answer that says no, in bytes.
const maxRefusal = 64

// closesWithoutAnswer reads until the node ends the connection.
func closesWithoutAnswer(t *testing.T, n *processtest.Node, connection net.Conn) {
	t.Helper()
	defer func() { _ = connection.Close() }()
	if err := connection.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	raw, err := io.ReadAll(connection)
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		t.Errorf("%s keeps a stranger's connection open", n.Name)
	}
	if len(raw) > maxRefusal {
		t.Errorf("%s told a stranger %d bytes", n.Name, len(raw))
	}
}

// keepsSecrets checks that a node's log holds no key.
func keepsSecrets(t *testing.T, fleet *processtest.Fleet, n *processtest.Node) {
	t.Helper()
	log := n.Logs()
	secrets := append([]string{processtest.Key, newPeerKey, newOperatorKey, strangerKey}, fleet.Secrets()...)
	for _, secret := range append(secrets, append(n.PeerKeys, n.OperatorKeys...)...) {
		if strings.Contains(log, secret) {
			t.Errorf("the log of %s holds a secret", n.Name)
		}
	}
	if log == "" {
		t.Errorf("%s logged nothing", n.Name)
	}
}
