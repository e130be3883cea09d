package forward_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/forward"
	"zinniamast/nearest"
	"zinniamast/platform"
	"zinniamast/quarantine"
	"zinniamast/retry"
	"zinniamast/throttle"
)

// fixedOrigins knows the same origin of all streams; none if the version is empty.
type fixedOrigins struct {
	version string
}

func (fixedOrigins) Began(string, string, string) {}

func (fixedOrigins) Ended(string) {}

func (f fixedOrigins) Find(context.Context, string, string) (string, bool) {
	return f.version, f.version != ""
}

// Guards against a stream that goes on although nobody knows its version, or its version has no replica left.
func TestStreamThatCannotGoOnIsRefusedAtOnce(t *testing.T) {
	for name, origins := range map[string]fixedOrigins{
		"unknown version": {},
		"version is gone": {
			version: "v0",
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.handler = forward.New(forward.Config{
				Routes:    f.routes,
				Upstreams: f.upstreams,
				Router: nearest.New(nearest.Config{
					Upstreams: f.upstreams,
				}),
				Protocol: platform.Headers{},
				RetryBudget: retry.NewWindow(retry.WindowConfig{
					Window: 10 * time.Second,
					Nodes:  func() int { return 1 },
				}),
				Allowance: f,
				Throttle: throttle.New(throttle.Config{
					Upstreams: f.upstreams,
				}),
				Quarantine: quarantine.New(quarantine.Config{
					FailureDomain: func(upstream string) string { return upstream },
				}),
				Origins:  origins,
				Meter:    f,
				Demand:   f,
				Closing:  f.closing.Load,
				Stopping: f.closing.Load,
				Logger:   slog.New(slog.NewTextHandler(&f.log, nil)),
			})
			f.server.Config.Handler = f.handler
			request := f.request(http.MethodPost, pathResumable, "x")
			request.Header.Set("Last-Event-Id", "3")
			request.Header.Set("Resumes", "r-0")
			answer := f.do(request)
			f.is.Equal(answer.status, http.StatusServiceUnavailable)
			f.is.Equal(answer.header.Get("Retry-After"), "")
			f.is.True(strings.Contains(answer.body, "start it anew"))
			f.is.Equal(f.runCount(), 0)
		})
	}
}

// Guards against a silent replica whose stream is taken over at another software version.
func TestSilentStreamIsTakenOverAtItsVersion(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			silent := func(ctx context.Context, r *scripted, request *http.Request, _ int) (*http.Response, error) {
				return r.respond(ctx, request, http.StatusOK, func(w io.Writer) error {
					if err := writeEvents(w, 0, eventsAtOnce); err != nil {
						return err
					}
					return r.stage.waitUntil(ctx, 0)
				}), nil
			}
			o := newOverlap(t, 0, 3, silent, reacts(answersWell))
			for i, version := range []string{"v1", "v1", "v2", "v2"} {
				id := fmt.Sprint(version, "-", i)
				o.upstreams.Add(&blackboard.Upstream{
					Instance: zinniamast.Instance{
						ID:      id,
						Service: "svc",
						Address: "replica.example",
						Version: version,
						Started: time.UnixMilli(1),
					},
					Replica: &actor{
						overlap: o,
						id:      id,
					},
					Slots: 8,
				})
			}
			o.useRouter(nearest.New(nearest.Config{
				Upstreams: o.upstreams,
			}))
			o.is.Equal(o.call(pathResumable, "r-1").body, events(takeoverEvents))
			var versions []string
			for _, line := range o.trace {
				if _, replica, found := strings.Cut(line, " goes to "); found {
					versions = append(versions, replica[:len("v1")])
				}
			}
			o.is.Equal(len(versions), 2)
			o.is.Equal(versions[0], versions[1])
		})
	}
}
