package roster_test

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/platform"
	"zinniamast/roster"
	"zinniamast/standin/store"
)

func newRoster(s *store.Store, id string, offset time.Duration, onOffsets func([]time.Duration)) *roster.Roster {
	return roster.New(roster.Config{
		Table:         platform.NewTable(platform.NewStore(s.Address())),
		ID:            id,
		FailureDomain: "here",
		Address:       id + ":1",
		Offset:        func() (time.Duration, bool) { return offset, true },
		OnOffsets:     onOffsets,
		Logger:        slog.New(slog.DiscardHandler),
	})
}

// Instances find each other in the store, including one that starts again under the
// same name with another offset.
func TestInstancesFindEachOther(t *testing.T) {
	check := is.New(t)
	s := store.New()
	defer s.Close()
	var received []time.Duration
	first := newRoster(s, "edge-1", time.Second, func(offsets []time.Duration) { received = offsets })
	first.Announce(context.Background())
	newRoster(s, "edge-2", 2*time.Second, nil).Announce(context.Background())
	newRoster(s, "edge-2", 3*time.Second, nil).Announce(context.Background())
	_, err := first.Read(context.Background())
	check.NoErr(err)
	instances := first.Instances()
	check.Equal(len(instances), 2)
	check.Equal(instances[1].Address, "edge-2:1")
	check.Equal(received, []time.Duration{time.Second, 3 * time.Second})
	check.Equal(len(first.Instances()), 2)
}

// The store is down when an instance starts. It announces itself once the store has
// recovered, and reads of the roster fail until then.
func TestInstanceIsAnnouncedAfterOutage(t *testing.T) {
	check := is.New(t)
	s := store.New()
	defer s.Close()
	s.SetFault(store.Fault{
		Status: http.StatusServiceUnavailable,
	})
	first := newRoster(s, "edge-1", 0, nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		first.Announce(context.Background())
	}()
	time.Sleep(700 * time.Millisecond)
	check.True(!first.Announced())
	_, err := first.Read(context.Background())
	check.True(err != nil && !errors.Is(err, context.Canceled))
	s.SetFault(store.Fault{})
	<-done
	check.True(first.Announced())
}

// Allowances are divided by the number of instances on the roster. If replaced
// instances stayed there, organisations would be refused at a fraction of their
// allowances after some days. Two instances are silent for long: the one of this
// failure domain is retired, the other is left to its own domain. An instance that
// was silent only for a time stays, and a retired one that is alive announces
// itself again.
func TestReplacedInstancesAreRetired(t *testing.T) {
	check := is.New(t)
	ctx := context.Background()
	s := store.New()
	defer s.Close()
	now := time.Now()
	reader := roster.New(roster.Config{
		Table:         platform.NewTable(platform.NewStore(s.Address())),
		ID:            "edge-1",
		FailureDomain: "here",
		Offset:        func() (time.Duration, bool) { return 0, true },
		Logger:        slog.New(slog.DiscardHandler),
		Now:           func() time.Time { return now },
	})
	reader.Announce(ctx)
	replaced := newRoster(s, "edge-2", 0, nil)
	replaced.Announce(ctx)
	newRoster(s, "edge-3", 0, nil).Announce(ctx)
	elsewhere := roster.New(roster.Config{
		Table:         platform.NewTable(platform.NewStore(s.Address())),
		ID:            "edge-4",
		FailureDomain: "there",
		Offset:        func() (time.Duration, bool) { return 0, true },
	})
	elsewhere.Announce(ctx)
	readAndRetire := func(alive ...string) int {
		_, err := reader.Read(ctx)
		check.NoErr(err)
		reader.Retire(ctx, func(id string) bool { return slices.Contains(alive, id) })
		_, err = reader.Read(ctx)
		check.NoErr(err)
		return len(reader.Entries())
	}
	check.Equal(readAndRetire(), 4)
	now = now.Add(10 * time.Minute)
	check.Equal(readAndRetire("edge-3"), 4)
	now = now.Add(6 * time.Minute)
	check.Equal(readAndRetire(), 3)
	_, err := replaced.Read(ctx)
	check.NoErr(err)
	check.True(replaced.Missing())
	replaced.Announce(ctx)
	_, err = replaced.Read(ctx)
	check.NoErr(err)
	check.True(!replaced.Missing())
	check.Equal(readAndRetire("edge-2", "edge-3"), 4)
}

// Guards against a process that takes itself for the first one of its instance after a restart.
func TestArrivalIsThatOfTheFirstRead(t *testing.T) {
	check := is.New(t)
	s := store.New()
	defer s.Close()
	table := platform.NewTable(platform.NewStore(s.Address()))
	process := func(id string, isFirstStart bool) *roster.Roster {
		return roster.New(roster.Config{
			Table:        table,
			ID:           id,
			IsFirstStart: isFirstStart,
			Offset:       func() (time.Duration, bool) { return 0, true },
		})
	}
	for _, c := range []struct {
		id           string
		isFirstStart bool
		arrival      roster.Arrival
	}{
		{
			id:      "edge-1",
			arrival: roster.ArrivalFirst,
		},
		{
			id:           "edge-2",
			isFirstStart: true,
			arrival:      roster.ArrivalFirst,
		},
		{
			id:      "edge-3",
			arrival: roster.ArrivalJoined,
		},
		{
			id:           "edge-1",
			isFirstStart: true,
			arrival:      roster.ArrivalRestarted,
		},
	} {
		r := process(c.id, c.isFirstStart)
		check.Equal(r.Arrival(), roster.ArrivalUnknown)
		_, err := r.Read(t.Context())
		check.NoErr(err)
		check.Equal(r.IsListed(), c.arrival == roster.ArrivalRestarted)
		r.Announce(t.Context())
		_, err = r.Read(t.Context())
		check.NoErr(err)
		check.True(r.IsListed())
		check.Equal(r.Arrival(), c.arrival)
	}
}

// Guards against a process whose first read failed and that takes a later one for it.
func TestArrivalStaysUnknownAfterAFailedRead(t *testing.T) {
	check := is.New(t)
	s := store.New()
	defer s.Close()
	r := roster.New(roster.Config{
		Table:  platform.NewTable(platform.NewStore(s.Address())),
		ID:     "edge-1",
		Offset: func() (time.Duration, bool) { return 0, true },
	})
	failed, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := r.Read(failed)
	check.True(err != nil)
	_, err = r.Read(t.Context())
	check.NoErr(err)
	check.Equal(r.Arrival(), roster.ArrivalUnknown)
}

// Guards against an instance that has just joined dividing allowances with others that do not know it yet.
func TestJoinedInstanceIsEstablishedAfterADelay(t *testing.T) {
	check := is.New(t)
	s := store.New()
	defer s.Close()
	first := newRoster(s, "edge-1", 0, nil)
	first.Announce(t.Context())
	_, err := first.Read(t.Context())
	check.NoErr(err)
	check.Equal(len(first.Established()), 1) // it was there first
	now := time.Now()
	joined := roster.New(roster.Config{
		Table:         platform.NewTable(platform.NewStore(s.Address())),
		ID:            "edge-2",
		FailureDomain: "here",
		Address:       "edge-2:1",
		Offset:        func() (time.Duration, bool) { return 0, true },
		JoinDelay:     6 * time.Second,
		Logger:        slog.New(slog.DiscardHandler),
		Now:           func() time.Time { return now },
	})
	check.Equal(len(joined.Established()), 0)
	for range 2 {
		_, err := joined.Read(t.Context())
		check.NoErr(err)
		joined.Announce(t.Context())
	}
	check.Equal(len(joined.Instances()), 2)
	check.Equal(len(joined.Established()), 1)
	check.Equal(joined.Established()[0].ID, "edge-1")
	now = now.Add(6 * time.Second)
	check.Equal(len(joined.Established()), 2)
}
