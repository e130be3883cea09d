package forward_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// Guards against a large failure of a replica that reaches the caller cut short, with the length of what was kept of it as its own.
func TestLargeFailureIsNotCutShort(t *testing.T) {
	for _, size := range []int{64<<10 - 1, 64 << 10, 64<<10 + 1, 300 << 10} {
		f := newFixture(t, 0)
		body := strings.Repeat("x", size)
		var r *wireReplica
		r = startWireReplica(t, f, func(id string, _ int, _ string) (string, bool) {
			r.ran(id, "")
			return fmt.Sprintf("HTTP/1.1 500 X\r\nZinniamast-Request-Id: %s\r\nZinniamast-Server-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", id, size, body), false
		})
		got := f.send(pathSafe, "r-1")
		isOwn := got.status == http.StatusBadGateway && got.header.Get("Zinniamast-Server-Stamp") == ""
		if !isOwn && (got.status != http.StatusInternalServerError || got.body != body) {
			t.Errorf("%d bytes: status %d, %d bytes", size, got.status, len(got.body))
		}
		f.is.True(isOwn == (size >= 64<<10))
		f.is.Equal(r.runCount("r-1"), 1)
	}
}
