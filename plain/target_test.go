package plain_test

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"zinniamast/plain"
)

// Guards against a request that reaches its replica with another path or query than its caller sent.
func TestTargetIsSentUnchanged(t *testing.T) {
	for _, target := range []string{"/", "/a%2Fb?x=%2F", "//", "//a/b", "///a", "//a/b?", "//a?b=//c?d", "//a%2fb%20c;d=1,2", "//a:80/b", "/a|b\"{c}", "/a//b"} {
		check := is.New(t)
		u, err := plain.Target("10.0.0.1:80", target)
		check.NoErr(err)
		request := &http.Request{
			Method: http.MethodPost,
			URL:    u,
			Host:   "models.example",
		}
		var line bytes.Buffer
		check.NoErr(request.Write(&line))
		first, err := bufio.NewReader(&line).ReadString('\n')
		check.NoErr(err)
		check.Equal(strings.Fields(first)[1], target)
	}
	for _, target := range []string{"*", "http://a/b", "//a|b", "//a%zz"} {
		check := is.New(t)
		_, err := plain.Target("10.0.0.1:80", target)
		check.True(err != nil)
	}
}
