package forward_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"zinniamast/standin/replica"
)

// paused is a stream whose replica is silent for longer than a node's patience,
// and then goes on.
var paused = replica.Behaviour{
	Events:     6,
	PauseAfter: 3,
	Pause:      1200 * time.Millisecond,
}

// Guards against breaking off a stream whose replica is only silent where nothing else can go on with it.
func TestSilentReplicaKeepsAStreamThatCannotMove(t *testing.T) {
	cases := map[string]struct {
		replicas int
		prepare  func(b *bed)
	}{
		"no other replica": {
			replicas: 1,
			prepare:  func(*bed) {},
		},
		"other replicas leaving": {
			replicas: 2,
			prepare: func(b *bed) {
				b.upstream.MarkLeaving("i-b", time.Time{})
			},
		},
		"retries spent": {
			replicas: 2,
			prepare:  func(b *bed) { b.retriesSpent.Store(true) },
		},
		"attempts spent": {
			replicas: 2,
			prepare: func(b *bed) {
				next := configuration()
				next.Version++
				for i := range next.Routes {
					next.Routes[i].MaxAttempts = 1
				}
				b.routes.Apply(next)
			},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBed(t, c.replicas)
			b.all(paused)
			c.prepare(b)
			answer := b.do(b.request(http.MethodPost, pathSay, "x"))
			b.is.Equal(answer.body, events(paused.Events))
			b.is.True(!answer.broken)
			b.is.Equal(b.runs(), 1)
		})
	}
}

// Guards against answering 502 for a request that has not begun, because its replica is only silent.
func TestSilentReplicaIsWaitedForWhereNothingElseCanRun(t *testing.T) {
	b := newBed(t, 2)
	b.retriesSpent.Store(true)
	b.all(replica.Behaviour{
		Delay:  700 * time.Millisecond,
		Events: 3,
	})
	answer := b.do(b.request(http.MethodPost, pathSay, "x"))
	b.is.Equal(answer.status, http.StatusOK)
	b.is.Equal(answer.body, events(3))
	b.is.Equal(b.runs(), 1)
}

// Guards against breaking off a stream, taken from a silent replica, while the others are full for a moment.
func TestBegunStreamWaitsForRoom(t *testing.T) {
	b := newBed(t, 4)
	full := replica.Behaviour{
		NotRun: true,
	}
	b.all(replica.Behaviour{
		Events:     6,
		PauseAfter: 3,
		Pause:      time.Minute,
	})
	go func() {
		for b.runs() == 0 {
			time.Sleep(time.Millisecond)
		}
		b.all(full)
		for b.runs() < 4 {
			time.Sleep(time.Millisecond)
		}
		b.all(replica.Behaviour{
			Events: 6,
		})
	}()
	request := b.request(http.MethodPost, pathSay, "x")
	request.Header.Set("Zinniamast-Deadline-Ms", "2000")
	answer := b.do(request)
	b.is.Equal(answer.body, events(6))
	b.is.True(!answer.broken)
}

// Guards against losing a replica's own failure, which is in hand, while the next replica is silent.
func TestFailureInHandIsToldWhenTheNextReplicaIsSilent(t *testing.T) {
	b := newBed(t, 2)
	choices := 0
	b.routing = func() {
		choices++
		if choices == 1 {
			b.all(replica.Behaviour{
				Status: http.StatusInternalServerError,
			})
			return
		}
		b.all(replica.Behaviour{
			Hang: true,
		})
	}
	began := time.Now()
	b.is.Equal(b.do(b.request(http.MethodGet, pathGet, "")).status, http.StatusInternalServerError)
	b.is.True(time.Since(began) < time.Second)
}

// Guards against a held stream that takes the retries of other requests.
func TestHeldStreamLeavesRetriesToOthers(t *testing.T) {
	b := newBed(t, 3)
	b.all(replica.Behaviour{
		Events:     6,
		PauseAfter: 3,
		Pause:      time.Minute,
	})
	go func() {
		for b.runs() == 0 {
			time.Sleep(time.Millisecond)
		}
		b.all(replica.Behaviour{
			NotRun: true,
		})
	}()
	b.is.True(b.do(b.request(http.MethodPost, pathSay, "x")).broken)
	b.is.True(b.runs() <= 8)
	b.replicas[0].Behave(replica.Behaviour{
		Status: http.StatusInternalServerError,
	})
	b.replicas[1].Behave(replica.Behaviour{})
	b.replicas[2].Behave(replica.Behaviour{})
	for range 4 {
		b.is.Equal(b.do(b.request(http.MethodGet, pathGet, "")).status, http.StatusOK)
	}
}

// slowCaller does not read for a while.
type slowCaller struct {
	*httptest.ResponseRecorder
	wait time.Duration
}

func (s *slowCaller) Write(p []byte) (int, error) {
	time.Sleep(s.wait)
	s.wait = 0
	return s.ResponseRecorder.Write(p)
}

func (s *slowCaller) FlushError() error { return nil }

// Guards against leaving a replica that tells its events because the caller reads slowly.
func TestSlowCallerIsNoSilence(t *testing.T) {
	b := newBed(t, 2)
	b.all(replica.Behaviour{
		Events: 30,
		Gap:    50 * time.Millisecond,
	})
	request := b.request(http.MethodPost, pathSay, "x")
	request.RequestURI = pathSay
	request.Header.Set("Zinniamast-Deadline-Ms", "4000")
	caller := &slowCaller{
		ResponseRecorder: httptest.NewRecorder(),
		wait:             1300 * time.Millisecond,
	}
	b.handler.ServeHTTP(caller, request)
	b.is.Equal(caller.Body.String(), events(30))
	b.is.Equal(b.runs(), 1)
}
