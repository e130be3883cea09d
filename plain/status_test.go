package plain_test

import (
	"testing"

	"github.com/matryer/is"

	"zinniamast"
)

// invalidStatuses are statuses that no answer may have, and 101, which none may have without an upgrade.
var invalidStatuses = []string{"000", "001", "099", "+20", "-20", "20", "20x", "2000", "101", "199", "600", "999"}

// Guards against answers whose status RFC 9110 does not define and that are passed on, or end the caller's connection.
func TestAnswerWithInvalidStatusIsFailure(t *testing.T) {
	for _, status := range invalidStatuses {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			address := earlyServer{
				answer: "HTTP/1.1 " + status + " Text\r\nContent-Length: 2\r\n\r\n{}",
				end:    endInOrder,
			}.start(t)
			_, err := upload(t, address, 10)
			is.True(err != nil)
			is.True(zinniamast.AsUpstreamError(err).Outcome().BlamesReplica)
			is.True(zinniamast.AsUpstreamError(err).Outcome().Ran != zinniamast.NotRun)
		})
	}
}

// Guards against rejecting statuses that are not registered and that RFC 9110 allows.
func TestAnswerWithUnregisteredStatusIsReturned(t *testing.T) {
	for _, status := range []string{"200", "299", "399", "499", "599"} {
		is := is.New(t)
		address := earlyServer{
			answer: "HTTP/1.1 " + status + " Text\r\nContent-Length: 2\r\n\r\n{}",
			end:    endInOrder,
		}.start(t)
		body, err := upload(t, address, 10)
		is.NoErr(err)
		is.Equal(body, "{}")
	}
}
