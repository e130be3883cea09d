package roster_test

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/platform"
	"zinniamast/roster"
	"zinniamast/standin/store"
)

func entry(s *store.Store, id string, offset time.Duration, heard func([]time.Duration)) *roster.Roster {
	return roster.New(roster.Config{
		Table:         platform.NewTable(platform.NewStore(s.Address())),
		ID:            id,
		FailureDomain: "here",
		Address:       id + ":1",
		Offset:        func() (time.Duration, bool) { return offset, true },
		OnOffsets:     heard,
		Logger:        slog.New(slog.DiscardHandler),
	})
}

// Instances find each other in the store, also one that starts again under its
// name with another offset.
func TestInstancesFindEachOther(t *testing.T) {
	check := is.New(t)
	s := store.New()
	defer s.Close()
	var heard []time.Duration
	one := entry(s, "edge-1", time.Second, func(offsets []time.Duration) { heard = offsets })
	one.Announce(context.Background())
	entry(s, "edge-2", 2*time.Second, nil).Announce(context.Background())
	entry(s, "edge-2", 3*time.Second, nil).Announce(context.Background())
	_, err := one.Read(context.Background())
	check.NoErr(err)
	instances := one.Instances()
	check.Equal(len(instances), 2)
	check.Equal(instances[1].Address, "edge-2:1")
	check.Equal(heard, []time.Duration{time.Second, 3 * time.Second})
	check.Equal(len(one.Instances()), 2)
}

// The store is down when an instance starts. It is announced when the store is
// back, and until then knows of nobody.
func TestAnnouncedAfterTheOutage(t *testing.T) {
	check := is.New(t)
	s := store.New()
	defer s.Close()
	s.SetFault(store.Fault{
		Status: http.StatusServiceUnavailable,
	})
	one := entry(s, "edge-1", 0, nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		one.Announce(context.Background())
	}()
	time.Sleep(700 * time.Millisecond)
	check.True(!one.Announced())
	_, err := one.Read(context.Background())
	check.True(err != nil && !errors.Is(err, context.Canceled))
	s.SetFault(store.Fault{})
	<-done
	check.True(one.Announced())
}
