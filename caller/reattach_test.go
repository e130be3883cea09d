package caller_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"zinniamast/caller"
	"zinniamast/request"
)

// tokenProgress returns the progress of one token at index, after which the request
// is in the given state.
func tokenProgress(index int, text string, state request.State) request.Progress {
	return request.Progress{
		Index: index,
		Text:  []byte(text),
		Ends:  []int32{int32(len(text))},
		State: state,
	}
}

// peerReader reads an answer from a peer that fails after the given progress.
type peerReader struct {
	progress []request.Progress
}

func (r *peerReader) Request() string { return "r-1" }
func (r *peerReader) Close(bool)      {}

func (r *peerReader) Read(_ context.Context, progress *request.Progress) error {
	if len(r.progress) == 0 {
		return errors.New("peer is unavailable")
	}
	*progress = r.progress[0]
	r.progress = r.progress[1:]
	return nil
}

// successivePeers is a Locator of peers that hold the request one after the other.
type successivePeers struct {
	noPeers
	readers []*peerReader
}

func (h *successivePeers) Find(_ context.Context, query caller.Query) request.Reader {
	if len(h.readers) == 0 || query.ID != "r-1" || query.From != h.readers[0].progress[0].Index {
		return nil
	}
	reader := h.readers[0]
	h.readers = h.readers[1:]
	return reader
}

// Guards against refusing a caller when the node from which its answer is read has
// handed the request over and exited.
func TestReattachesWhenSourceNodeIsGone(t *testing.T) {
	check := is.New(t)
	s := newTestServerWithPeers(t, &successivePeers{
		readers: []*peerReader{
			{
				progress: []request.Progress{
					tokenProgress(1, "one ", request.StateRunning),
				},
			},
			{
				progress: []request.Progress{
					tokenProgress(2, "two", request.StateWhole),
				},
			},
		},
	})
	streamed := strings.Replace(chatBody, `{`, `{"stream":true,`, 1)
	answer := s.post(t, map[string]string{
		caller.HeaderLastEvent: "r-1:0:1",
	}, streamed)
	body, err := io.ReadAll(answer.Body)
	check.NoErr(err)
	check.True(strings.Contains(string(body), "one "))
	check.True(strings.Contains(string(body), "two"))
	check.True(strings.Contains(string(body), "[DONE]"))
}
