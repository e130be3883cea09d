package forward_test

import (
	"net/http"
	"strings"
	"testing"

	"zinniamast/standin/replica"
)

// Guards against a panic that closes a caller's connection without a log line.
func TestPanicIsLogged(t *testing.T) {
	f := newFixture(t, 1)
	f.onRoute = func() { panic("no such service") }
	f.is.True(f.do(f.request(http.MethodGet, pathSafe, "")).broken)
	lines := f.log.linesWith("handler panicked")
	f.is.Equal(len(lines), 1)
	f.is.True(strings.Contains(lines[0], "request=r-1"))
	f.is.True(strings.Contains(lines[0], "no such service"))
}

// Guards against a log that does not distinguish a silent replica from a caller that
// disconnected.
func TestSilenceIsLogged(t *testing.T) {
	f := newFixture(t, 2)
	choices := 0
	f.onRoute = func() {
		choices++
		f.setBehaviour(replica.Behaviour{
			Hang:   choices == 1,
			Events: 3,
		})
	}
	f.do(f.request(http.MethodPost, pathResumable, "x"))
	retries := f.log.linesWith("send failed, retrying request")
	f.is.Equal(len(retries), 1)
	f.is.True(strings.Contains(retries[0], "the replica is silent"))
}

// Guards against a log that hides that all replicas of a request were silent.
func TestSilenceOfAllReplicasIsLogged(t *testing.T) {
	f := newFixture(t, 2)
	f.setBehaviour(replica.Behaviour{
		Hang: true,
	})
	f.is.Equal(f.do(f.request(http.MethodPost, pathResumable, "x")).status, http.StatusGatewayTimeout)
	f.is.Equal(len(f.log.linesWith("replica is silent, request sent to another")), 1)
}

// Guards against a log that does not tell which of the requests on a crashed replica it was answering.
func TestBrokenSendIsLoggedWithItsParts(t *testing.T) {
	f := newFixture(t, 2)
	f.setBehaviour(replica.Behaviour{
		Events:     3,
		BreakAfter: 1,
	})
	request := f.request(http.MethodPost, pathStream, "x")
	request.Header.Set("Zinniamast-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
	f.is.True(f.do(request).broken)
	lines := f.log.linesWith("replica broke off")
	f.is.Equal(len(lines), 1)
	f.is.True(strings.Contains(lines[0], "has_begun=true"))
	f.is.True(strings.Contains(lines[0], `prompt_parts="[5c1e07a2 91bd3f06]"`))
}
