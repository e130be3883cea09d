package handoff_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/caller"
	"zinniamast/handoff"
	"zinniamast/request"
)

// network connects exchanges in memory; arguments pass through gob as over net/rpc.
type network struct {
	mu          sync.Mutex
	nodes       map[string]*testNode
	unreachable map[string]bool
	calls       int
	bytes       int
	// delay returns the time that a call takes; if nil, a call takes a millisecond.
	delay func() time.Duration
}

type testNode struct {
	name     string
	board    *blackboard.Board
	exchange *handoff.Exchange
	stopping bool
	network  *network
}

var errUnreachable = errors.New("node is unreachable")

// Call implements handoff.Transport.
func (n *network) Call(ctx context.Context, address, method string, args, reply any) error {
	n.mu.Lock()
	node := n.nodes[address]
	unreachable := n.unreachable[address] || n.unreachable[address+"/"+method]
	n.calls++
	delay := time.Millisecond
	if n.delay != nil {
		delay = n.delay()
	}
	n.mu.Unlock()
	if unreachable || node == nil {
		return errUnreachable
	}
	time.Sleep(delay)
	receiver := reflect.ValueOf(node.exchange.Receiver()).MethodByName(strings.TrimPrefix(method, handoff.ServiceName+"."))
	given := reflect.New(receiver.Type().In(0))
	n.copyInto(args, given.Interface())
	done := make(chan error, 1)
	answer := reflect.New(receiver.Type().In(1).Elem())
	go func() {
		err, _ := receiver.Call([]reflect.Value{given.Elem(), answer})[0].Interface().(error)
		done <- err
	}()
	select {
	case err := <-done:
		if err == nil {
			n.copyInto(answer.Interface(), reply)
		}
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *network) copyInto(from, to any) {
	var wire bytes.Buffer
	if err := gob.NewEncoder(&wire).Encode(from); err != nil {
		panic(err)
	}
	n.mu.Lock()
	n.bytes += wire.Len()
	n.mu.Unlock()
	if err := gob.NewDecoder(&wire).Decode(to); err != nil {
		panic(err)
	}
}

// finishingRunner finishes resumed requests: it produces the missing tokens.
type finishingRunner struct{ length int }

func (f finishingRunner) Resume(_ context.Context, q *request.Request, upstream string) {
	q.Begin("resumed", upstream)
	for i := len(q.Produced()); i < f.length; i++ {
		time.Sleep(10 * time.Millisecond)
		if !q.Append("resumed", i, []int32{int32(i)}, tokenText(i)) {
			return
		}
	}
	q.Finish("resumed", "stop", request.Usage{})
}

func (finishingRunner) Release(*request.Request) {}

func tokenText(i int) []byte { return fmt.Appendf(nil, " t%d", i) }

func answerText(length int) string {
	var text []byte
	for i := range length {
		text = append(text, tokenText(i)...)
	}
	return string(text)
}

// newFleet returns nodes that know each other, two in each failure domain.
func newFleet(ctx context.Context, count, length int) (*network, []*testNode) {
	n := &network{
		nodes:       map[string]*testNode{},
		unreachable: map[string]bool{},
	}
	var nodes []*testNode
	for i := range count {
		node := &testNode{
			name:    fmt.Sprintf("node-%d", i),
			board:   blackboard.New(),
			network: n,
		}
		node.exchange = handoff.New(handoff.Config{
			Board:         node.board,
			Transport:     n,
			Runner:        finishingRunner{length: length},
			Node:          node.name,
			FailureDomain: fmt.Sprintf("domain-%d", i/2),
			Address:       node.name,
			Stopping:      func() bool { return node.stopping },
			Context:       ctx,
			Logger:        slog.New(slog.DiscardHandler),
		})
		nodes = append(nodes, node)
		n.nodes[node.name] = node
	}
	for _, node := range nodes {
		for i, other := range nodes {
			node.board.Members.Update(other.name, func(m *blackboard.Member) bool {
				m.Address = other.name
				m.FailureDomain = fmt.Sprintf("domain-%d", i/2)
				m.Weight = 1
				return true
			})
		}
	}
	return n, nodes
}

func addRunning(node *testNode, id string, tokens int) *request.Request {
	q := request.New(request.Call{
		ID:           id,
		Organisation: "north",
		Key:          "key-" + id,
		Fingerprint:  7,
		Deadline:     time.Now().Add(time.Minute),
	})
	node.board.Requests.Add(q)
	q.Begin("first", "engine-0")
	for i := range tokens {
		q.Append("first", i, []int32{int32(i)}, tokenText(i))
	}
	return q
}

// readAnswer reads an answer to its end and follows it from node to node, as the
// caller package does.
func readAnswer(ctx context.Context, at *testNode, reader request.Reader, text string, tokens int) (string, error) {
	var progress request.Progress
	for {
		if err := reader.Read(ctx, &progress); err != nil {
			return text, err
		}
		if progress.Index != tokens {
			return text, fmt.Errorf("got token %d, want token %d", progress.Index, tokens)
		}
		text += string(progress.Text)
		tokens += len(progress.Ends)
		switch progress.State {
		case request.StateWhole:
			reader.Close(true)
			return text, nil
		case request.StateFailed:
			return text, progress.Refusal
		case request.StateMoved:
			reader.Close(false)
			reader = at.exchange.Follow(progress.MovedTo, caller.Query{
				ID:           reader.Request(),
				Organisation: "north",
				From:         tokens,
				Epoch:        progress.Epoch,
			})
		}
	}
}

// A node is reclaimed while streams run, and two peers, one of them in the same
// failure domain, are leaving too and refuse. Every caller that stays connected
// reads one unbroken answer; a caller that reconnects to another node with its
// key receives the same answer.
func TestLeavingNodeHandsRequestsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		_, nodes := newFleet(ctx, 6, 50)
		nodes[1].stopping = true
		nodes[2].stopping = true
		var readers []request.Reader
		for i := range 20 {
			q := addRunning(nodes[0], fmt.Sprint("r", i), i)
			readers = append(readers, q.Watch(0))
			nodes[0].exchange.Enter(ctx, caller.Query{
				ID:           q.Call.ID,
				Organisation: "north",
				Key:          q.Call.Key,
				Fingerprint:  7,
			})
		}
		is.Equal(nodes[0].exchange.HandOff(ctx, time.Time{}), 0) // peers accept every request
		var group sync.WaitGroup
		for _, reader := range readers {
			group.Go(func() {
				text, err := readAnswer(ctx, nodes[0], reader, "", 0)
				is.NoErr(err)
				is.Equal(text, answerText(50))
			})
		}
		group.Go(func() {
			reader, refusal := repeatKey(ctx, nodes[5], "key-r3")
			is.Equal(refusal, nil)
			is.True(reader != nil) // attached to the running request, not run a second time
			text, err := readAnswer(ctx, nodes[5], reader, "", 0)
			is.NoErr(err)
			is.Equal(text, answerText(50))
		})
		group.Wait()
		cancel()
		time.Sleep(time.Minute)
	})
}

// repeatKey sends a key to a node again as the caller package does: the node's own requests
// come first, then the directory.
func repeatKey(ctx context.Context, node *testNode, key string) (request.Reader, *zinniamast.Refusal) {
	q := request.New(request.Call{
		ID:           "again",
		Organisation: "north",
		Key:          key,
		Fingerprint:  7,
		Deadline:     time.Now().Add(time.Minute),
	})
	if known, added := node.board.Requests.Add(q); !added {
		return known.Watch(0), nil
	}
	reader, refusal := node.exchange.Enter(ctx, caller.Query{
		ID:           q.Call.ID,
		Organisation: q.Call.Organisation,
		Key:          q.Call.Key,
		Fingerprint:  q.Call.Fingerprint,
	})
	if reader != nil || refusal != nil {
		node.board.Requests.Remove(q)
	}
	return reader, refusal
}

// Guards against a request that runs twice because its key is repeated at the node that took it over, or at another one.
func TestRepeatedKeyIsAttachedAfterHandOff(t *testing.T) {
	for taker := 1; taker < 6; taker++ {
		for _, wait := range []time.Duration{0, 10 * time.Millisecond} {
			t.Run(fmt.Sprint("taker ", taker, " after ", wait), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					ctx, cancel := context.WithCancel(t.Context())
					_, nodes := newFleet(ctx, 6, 50)
					for i, node := range nodes {
						node.stopping = i != taker
					}
					q := addRunning(nodes[0], "r3", 3)
					nodes[0].exchange.Enter(ctx, caller.Query{
						ID:           q.Call.ID,
						Organisation: "north",
						Key:          q.Call.Key,
						Fingerprint:  7,
					})
					is.Equal(nodes[0].exchange.HandOff(ctx, time.Time{}), 0)
					time.Sleep(wait)
					reader, refusal := repeatKey(ctx, nodes[5], q.Call.Key)
					is.Equal(refusal, nil)
					is.True(reader != nil)
					text, err := readAnswer(ctx, nodes[5], reader, "", 0)
					is.NoErr(err)
					is.Equal(text, answerText(50))
					cancel()
					time.Sleep(time.Minute)
				})
			})
		}
	}
}

// The leaving node dies between the acknowledgement of Hold and the Start call.
// The holder starts from its copy when the lease expires. A caller that has
// received more tokens than the copy has gets ErrLost, since tokens produced
// again may differ; a caller that has received no more continues.
func TestGiverDiesBeforeStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		n, nodes := newFleet(ctx, 2, 30)
		for _, node := range nodes {
			n.unreachable[node.name+"/"+handoff.ServiceName+".Start"] = true
		}
		q := addRunning(nodes[0], "r", 10)
		is.Equal(nodes[0].exchange.HandOff(ctx, time.Time{}), 0)
		is.Equal(q.State(), request.StateMoved)
		time.Sleep(5 * time.Second)
		query := caller.Query{
			ID:           "r",
			Organisation: "north",
			From:         12,
		}
		_, err := readAnswer(ctx, nodes[0], nodes[0].exchange.Follow("node-1", query), "", 12)
		is.True(errors.Is(err, handoff.ErrLost))
		query.From = 10
		text, err := readAnswer(ctx, nodes[0], nodes[0].exchange.Follow("node-1", query), answerText(10), 10)
		is.NoErr(err)
		is.Equal(text, answerText(30))
		cancel()
		time.Sleep(time.Minute)
	})
}

// A caller sends its key to another node while the holder is unreachable. The
// entry is replaced and the request runs anew at that node. While the holder can
// be reached, the same key with another body is refused.
func TestKeyRunsAnewWithoutItsHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		n, nodes := newFleet(ctx, 4, 5)
		query := caller.Query{
			ID:           "r",
			Organisation: "north",
			Key:          "key-r",
			Fingerprint:  7,
		}
		addRunning(nodes[0], "r", 1)
		reader, refusal := nodes[0].exchange.Enter(ctx, query)
		is.True(reader == nil && refusal == nil)
		other := query
		other.Fingerprint = 8
		_, refusal = nodes[2].exchange.Enter(ctx, other)
		is.True(refusal != nil)
		n.unreachable["node-0"] = true
		query.ID = "second"
		reader, refusal = nodes[3].exchange.Enter(ctx, query)
		is.True(reader == nil && refusal == nil) // runs anew
		cancel()
		time.Sleep(time.Minute)
	})
}

// The caller's connection breaks during the handoff: the giver still registers
// the request as orphaned in the directory after the new holder has registered
// itself. The caller must be directed to the new holder.
func TestLateOrphanReportOfTheGiverIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		_, nodes := newFleet(ctx, 6, 30)
		q := addRunning(nodes[0], "r", 10)
		is.Equal(nodes[0].exchange.HandOff(ctx, time.Time{}), 0)
		time.Sleep(50 * time.Millisecond)
		entry := handoff.Entry{
			Holder:      "node-0",
			Node:        "node-0",
			ID:          "r",
			Fingerprint: 7,
		}
		for _, node := range nodes {
			var reply handoff.EnterReply
			is.NoErr(node.exchange.Receiver().Enter(handoff.EnterArgs{
				Name:    "id\x00r",
				Entry:   entry,
				Replace: true,
			}, &reply))
		}
		nodes[0].exchange.RegisterOrphan(caller.Query{
			ID:           "r",
			Organisation: "north",
		})
		nodes[0].board.Requests.Remove(q)
		time.Sleep(50 * time.Millisecond)
		reader := nodes[5].exchange.Find(ctx, caller.Query{
			ID:           "r",
			Organisation: "north",
		})
		is.True(reader != nil)
		text, err := readAnswer(ctx, nodes[5], reader, "", 0)
		is.NoErr(err)
		is.Equal(text, answerText(30))
		cancel()
		time.Sleep(time.Minute)
	})
}

// A caller sends one key to two nodes at the same moment. Exactly one of the
// nodes runs the request and the other reads it there, in whatever order their
// entries reach the homes; both must not leave the request to each other.
func TestOneKeyAtTwoNodesAtOnce(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			n, nodes := newFleet(ctx, 6, 5)
			random := rand.New(rand.NewPCG(seed, 0))
			n.delay = func() time.Duration { return time.Duration(random.IntN(3000)) * time.Microsecond }
			var running atomic.Int32
			var group sync.WaitGroup
			for _, i := range []int{0, 5} {
				id := fmt.Sprint("r", i)
				addRunning(nodes[i], id, 1)
				group.Go(func() {
					reader, _ := nodes[i].exchange.Enter(ctx, caller.Query{
						ID:           id,
						Organisation: "north",
						Key:          "the-key",
						Fingerprint:  7,
					})
					if reader == nil {
						running.Add(1)
					}
				})
			}
			group.Wait()
			if running.Load() != 1 {
				t.Fatalf("seed %d: %d nodes run the request, want 1", seed, running.Load())
			}
			cancel()
			time.Sleep(time.Minute)
		})
	}
}

// Nodes leave one after the other at random moments, and one method of one node
// may be unreachable. What a caller reads is always a prefix of its own answer,
// and it is the whole answer if the reader ends without an error.
func TestChainOfHandoffs(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		leave := rapid.SliceOfN(rapid.IntRange(0, 400), 1, 4).Draw(r, "leave")
		lost := rapid.SampledFrom([]string{"", "Hold", "Start", "Read"}).Draw(r, "lost")
		at := rapid.IntRange(1, 5).Draw(r, "at")
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			n, nodes := newFleet(ctx, 6, 60)
			if lost != "" {
				n.unreachable[fmt.Sprintf("node-%d/%s.%s", at, handoff.ServiceName, lost)] = true
			}
			q := addRunning(nodes[0], "r", 3)
			go func() {
				for i, wait := range leave {
					time.Sleep(time.Duration(wait) * time.Millisecond)
					nodes[i].stopping = true
					nodes[i].exchange.HandOff(ctx, time.Time{})
				}
			}()
			text, err := readAnswer(ctx, nodes[0], q.Watch(0), "", 0)
			if !strings.HasPrefix(answerText(60), text) {
				t.Fatalf("read %q, which is not a prefix of the answer", text)
			}
			if err == nil && text != answerText(60) {
				t.Fatalf("reader ended without an error after %q, which is not the whole answer", text)
			}
			if lost == "" && err != nil {
				t.Fatalf("all nodes were reachable, but reading failed: %v", err)
			}
			cancel()
			time.Sleep(time.Minute)
		})
	})
}
