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

// The new keys of a rotation, and a key that no node accepts.
const (
	newPeerKey      = "new-peer-key-new-peer-key-new-peer-key"
	newOperatorKey  = "new-operator-key-new-operator-key-new"
	unauthorisedKey = "stranger-key-stranger-key-stranger-key"
)

// TestKeyRotation rotates peer and operator keys under load by the steps of
// docs/operators/keys.md: three rounds of graceful restarts, one node after the
// other, with old and new keys in each list while any node needs both. It guards
// against incomplete answers, lost and repeated bookings, and nodes that accept an
// unauthorised key or, after the rotation, an old one.
func TestKeyRotation(t *testing.T) {
	is := is.New(t)
	fleet := startFleet(t, processtest.FleetConfig{
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
	loadRun := fleet.StartLoad(load.Config{
		Rate:     15,
		Duration: 12 * time.Second,
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
			is.True(!acceptsOperatorKey(t, n, unauthorisedKey))
			is.True(acceptsOperatorKey(t, n, round.operators[0]))
		}
	}
	t.Logf("nine restarts in %v", time.Since(began))
	checkAllComplete(t, loadRun.Report())
	is.Equal(fleet.Ledger.KeysRunTwice(), nil)
	is.True(!acceptsOperatorKey(t, fleet.Nodes[0], oldOperators[0]))
	for _, n := range fleet.Nodes {
		checkRefusesKey(t, n, oldPeers[0])
		checkLogHasNoSecrets(t, fleet, n)
	}
}

// TestUnauthorisedPeers guards against access without a key. It tries to join,
// command, configure and read by a process with a wrong peer key, operator commands
// with a wrong key, plain HTTP, bytes without TLS, and TLS with a wrong proof. None
// may be answered, no node may list the process as a member, and no log may
// contain a key.
func TestUnauthorisedPeers(t *testing.T) {
	is := is.New(t)
	fleet := startFleet(t, processtest.FleetConfig{})
	unauthorised := fleet.StartUnauthorisedNode(unauthorisedKey)
	for _, n := range fleet.Nodes {
		checkRefusesKey(t, n, unauthorisedKey)
		// A peer key is not accepted as an operator key.
		is.True(!acceptsOperatorKey(t, n, n.PeerKeys[0]))
	}
	fleet.WaitUntil("a node to refuse the unauthorised process", func() bool {
		for _, n := range fleet.Nodes {
			if strings.Contains(n.Logs(), "peer_connection_refused") {
				return true
			}
		}
		return false
	})
	is.Equal(unauthorised.Versions(), nil) // it received no configuration
	for _, n := range fleet.Nodes {
		for _, member := range fleet.Status(n).Members {
			is.True(member.ID != unauthorised.Name)
		}
		checkLogHasNoSecrets(t, fleet, n)
	}
	status, _ := postBooking(t, fleet.Nodes[0].DirectURL, "k")
	is.Equal(status, http.StatusOK)
	is.Equal(send(t, http.MethodPost, fleet.Nodes[0].DirectURL+"/v1/chat/completions", "", "{}").status, http.StatusBadRequest)
}

// acceptsOperatorKey reports whether a node accepts an operator key.
func acceptsOperatorKey(t *testing.T, n *processtest.Node, key string) bool {
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

// checkRefusesKey checks that a node's peer listener refuses a key, plain HTTP, bytes
// without TLS, and TLS with a wrong proof.
func checkRefusesKey(t *testing.T, n *processtest.Node, key string) {
	t.Helper()
	if acceptsOperatorKey(t, n, key) {
		t.Errorf("%s accepts an unauthorised key", n.Name)
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
	checkClosed(t, n, plain)
	secured, err := tls.Dial("tcp", n.Peers.Address(), &tls.Config{InsecureSkipVerify: true})
	if err != nil {
		return
	}
	// The hello has the right size and a wrong proof.
	if _, err := secured.Write([]byte("zmp1\x01" + strings.Repeat("x", 32))); err != nil {
		t.Error(err)
	}
	checkClosed(t, n, secured)
}

// maxRefusal is the maximum number of bytes that a node may send on a refused
// connection: a TLS alert or the refusal.
const maxRefusal = 64

// checkClosed checks that the node closes the connection and sends at most a refusal.
func checkClosed(t *testing.T, n *processtest.Node, connection net.Conn) {
	t.Helper()
	defer func() { _ = connection.Close() }()
	if err := connection.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	raw, err := io.ReadAll(connection)
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		t.Errorf("%s keeps an unauthorised connection open", n.Name)
	}
	if len(raw) > maxRefusal {
		t.Errorf("%s sent %d bytes on an unauthorised connection", n.Name, len(raw))
	}
}

// checkLogHasNoSecrets checks that a node's log is not empty and contains no key.
func checkLogHasNoSecrets(t *testing.T, fleet *processtest.Fleet, n *processtest.Node) {
	t.Helper()
	log := n.Logs()
	secrets := append([]string{processtest.Key, newPeerKey, newOperatorKey, unauthorisedKey}, fleet.Secrets()...)
	for _, secret := range append(secrets, append(n.PeerKeys, n.OperatorKeys...)...) {
		if strings.Contains(log, secret) {
			t.Errorf("the log of %s contains a secret", n.Name)
		}
	}
	if log == "" {
		t.Errorf("%s logged nothing", n.Name)
	}
}
