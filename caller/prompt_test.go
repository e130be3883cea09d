package caller_test

import (
	"fmt"
	"io"
	"testing"

	"github.com/matryer/is"
)

// Guards against requests whose common message is not known as a part that their prompts share.
func TestMessagesAreThePartsOfPrompts(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t)
	for i := range 2 {
		response := s.post(t, nil, fmt.Sprintf(`{"model": "summary", "max_tokens": 2, "messages": [
			{"role": "system", "content": "be brief"}, {"role": "user", "content": "contract %d"}]}`, i))
		_, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
	}
	all := s.board.Requests.All()
	is.Equal(len(all), 2)
	for _, q := range all {
		is.Equal(len(q.Call.PromptParts), 1) // the last message belongs to the request alone
	}
	is.Equal(all[0].Call.PromptParts, all[1].Call.PromptParts)
}
