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

// part is one token of an answer, the last one with its state.
func part(index int, text string, state request.State) request.Progress {
	return request.Progress{
		Index: index,
		Text:  []byte(text),
		Ends:  []int32{int32(len(text))},
		State: state,
	}
}

// remote reads an answer at another node that ends after its parts.
type remote struct {
	parts []request.Progress
}

func (r *remote) Request() string { return "r-1" }
func (r *remote) Close(bool)      {}

func (r *remote) Read(_ context.Context, progress *request.Progress) error {
	if len(r.parts) == 0 {
		return errors.New("the node has gone")
	}
	*progress = r.parts[0]
	r.parts = r.parts[1:]
	return nil
}

// holders are nodes that hold the request one after the other.
type holders struct {
	alone
	readers []*remote
}

func (h *holders) Find(_ context.Context, query caller.Query) request.Reader {
	if len(h.readers) == 0 || query.ID != "r-1" || query.From != h.readers[0].parts[0].Index {
		return nil
	}
	reader := h.readers[0]
	h.readers = h.readers[1:]
	return reader
}

// Guards against sending a caller away when the node that it reads from has handed the request over and is gone.
func TestCallerFollowsARequestWhoseNodeHasGone(t *testing.T) {
	check := is.New(t)
	s := newSiteBeside(t, &holders{
		readers: []*remote{
			{
				parts: []request.Progress{
					part(1, "one ", request.StateRunning),
				},
			},
			{
				parts: []request.Progress{
					part(2, "two", request.StateWhole),
				},
			},
		},
	})
	streamed := strings.Replace(ask, `{`, `{"stream":true,`, 1)
	answer := s.post(t, map[string]string{
		caller.HeaderLastEvent: "r-1:0:1",
	}, streamed)
	body, err := io.ReadAll(answer.Body)
	check.NoErr(err)
	check.True(strings.Contains(string(body), "one "))
	check.True(strings.Contains(string(body), "two"))
	check.True(strings.Contains(string(body), "[DONE]"))
}
