package forward_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"zinniamast/forward"
	"zinniamast/standin/replica"
)

// Guards against requests with large bodies that together take more memory than the instance has.
func TestBodiesInMemoryAreBounded(t *testing.T) {
	const size, places = 100 << 10, 4
	for _, isChunked := range []bool{false, true} {
		f := newFixture(t, 1)
		current := configuration()
		current.Version, current.Limits.MaxBodyBytes = 2, 1<<20
		f.routes.Apply(current)
		f.config.MaxBodies = places * size
		if isChunked {
			f.config.MaxBodies = places * 128 << 10
		}
		f.handler = forward.New(f.config)
		f.server.Config.Handler = f.handler
		f.setBehaviour(replica.Behaviour{
			Delay: 300 * time.Millisecond,
		})
		body := strings.Repeat("x", size)
		send := func() reply {
			request := f.request(http.MethodPost, pathUnsafe, body)
			if isChunked {
				request.Body, request.ContentLength = io.NopCloser(strings.NewReader(body)), -1
			}
			return f.do(request)
		}
		for round := range 2 {
			var sends sync.WaitGroup
			for range places {
				sends.Go(func() { f.is.Equal(send().status, http.StatusOK) })
			}
			for f.runCount() < (round+1)*places {
				time.Sleep(time.Millisecond)
			}
			refused := send()
			f.is.Equal(refused.status, http.StatusServiceUnavailable)
			f.is.True(refused.header.Get("Retry-After") != "")
			sends.Wait()
			f.is.Equal(f.runCount(), (round+1)*places)
		}
	}
}
