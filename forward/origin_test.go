package forward_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/forward"
	"zinniamast/nearest"
	"zinniamast/plain"
	"zinniamast/platform"
	"zinniamast/quarantine"
	"zinniamast/retry"
	"zinniamast/routes"
	"zinniamast/standin/replica"
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
			o.mu.Lock()
			defer o.mu.Unlock()
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

// Guards against a stream that a caller resumes at the other service of its route.
func TestResumedStreamStaysAtItsService(t *testing.T) {
	f := newFixture(t, 2)
	config := configuration()
	config.Version = 2
	for i := range config.Routes {
		config.Routes[i].Split = []routes.Share{
			{
				Service: "svc",
				Weight:  50,
			},
			{
				Service: "other",
				Weight:  50,
			},
		}
	}
	config.Services["other"] = routes.Service{
		Name: "other",
	}
	f.routes.Apply(config)
	other := replica.New("i-other")
	t.Cleanup(other.Close)
	f.upstreams.Add(&blackboard.Upstream{
		Instance: zinniamast.Instance{
			ID:            other.ID,
			Service:       "other",
			FailureDomain: "here",
			Address:       other.Address(),
			Started:       time.UnixMilli(1),
		},
		Replica: plain.New(plain.Config{
			Upstream: other.ID,
			Address:  "http://" + other.Address(),
		}),
		Slots: 8,
	})
	f.setBehaviour(replica.Behaviour{
		Events: 4,
	})
	other.SetBehaviour(replica.Behaviour{
		Events: 4,
	})
	isAtOther := func(id string) bool {
		return slices.ContainsFunc(other.Runs(), func(run *replica.Run) bool { return run.ID == id })
	}
	for i := range 20 {
		first := fmt.Sprint("r-", i)
		request := f.request(http.MethodPost, pathResumable, first)
		request.Header.Set("Zinniamast-Request-Id", first)
		f.is.Equal(f.do(request).status, http.StatusOK)
		again := f.request(http.MethodPost, pathResumable, first)
		again.Header.Set("Zinniamast-Request-Id", "again-"+first)
		again.Header.Set("Resumes", first)
		again.Header.Set("Last-Event-Id", "2")
		f.is.Equal(f.do(again).status, http.StatusOK)
		f.is.Equal(isAtOther("again-"+first), isAtOther(first))
	}
}
