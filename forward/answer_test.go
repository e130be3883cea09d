package forward_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
)

// Guards against sending a large answer again after a part of it has reached the caller.
func TestBrokenLargeAnswerIsNotSentAgain(t *testing.T) {
	large := strings.Repeat("x", 100<<10)
	synctest.Test(t, func(t *testing.T) {
		o := newOverlap(t, 3, 3, func(ctx context.Context, r *scripted, request *http.Request, _ int) (*http.Response, error) {
			return r.respond(ctx, request, http.StatusOK, func(w io.Writer) error {
				if _, err := io.WriteString(w, large); err != nil {
					return err
				}
				return io.ErrUnexpectedEOF
			}), nil
		})
		got := o.call(pathSafe, "r-1")
		o.checkAccounts()
		o.is.True(got.broken)
		o.is.Equal(o.sent, 1)
		o.is.Equal(len(got.body), len(large))
	})
}
