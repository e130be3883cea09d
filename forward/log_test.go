package forward_test

import (
	"net/http"
	"strings"
	"testing"

	"zinniamast/standin/replica"
)

// Guards against a panic that closes callers' connections and leaves no line in the log.
func TestPanicIsLogged(t *testing.T) {
	b := newBed(t, 1)
	b.routing = func() { panic("no such service") }
	b.is.True(b.do(b.request(http.MethodGet, pathGet, "")).broken)
	lines := b.log.of("handler panicked")
	b.is.Equal(len(lines), 1)
	b.is.True(strings.Contains(lines[0], "request=r-1"))
	b.is.True(strings.Contains(lines[0], "no such service"))
}

// Guards against a log that does not tell a replica's silence from a caller that left.
func TestSilenceIsNamedInTheLog(t *testing.T) {
	b := newBed(t, 2)
	b.all(replica.Behaviour{
		Hang: true,
	})
	b.do(b.request(http.MethodPost, pathSay, "x"))
	again := b.log.of("sent again")
	b.is.Equal(len(again), 1)
	b.is.True(strings.Contains(again[0], "the replica is silent"))
}
