package dynamodb_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/config"
	"zinniamast/dynamodb"
	"zinniamast/standin/platform"
)

func newTable(t testing.TB, c platform.Config) (*dynamodb.Table, *platform.Platform) {
	p := platform.New(c)
	server := httptest.NewServer(p)
	table := dynamodb.New(dynamodb.Config{
		URL:       server.URL + "/table",
		Table:     "zinniamast",
		Region:    "local",
		AccessKey: "access",
		SecretKey: "secret",
		Timeout:   500 * time.Millisecond,
	})
	t.Cleanup(func() {
		table.Close()
		server.Close()
	})
	return table, p
}

func key(sort string) zinniamast.Key {
	return zinniamast.Key{
		Partition: "p",
		Sort:      sort,
	}
}

func put(sort, value string, expect uint64) zinniamast.Write {
	return zinniamast.Write{
		Item: zinniamast.Item{
			Key:   key(sort),
			Value: []byte(value),
			Token: "writer-" + value,
		},
		Expect: expect,
	}
}

func TestWritesAreConditional(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table, _ := newTable(t, platform.Config{})
	is.NoErr(table.Write(ctx, []zinniamast.Write{put("a", "1", 0)}))
	is.True(errors.Is(table.Write(ctx, []zinniamast.Write{put("a", "2", 0)}), zinniamast.ErrConflict))

	var conflict *zinniamast.ConflictError
	err := table.Write(ctx, []zinniamast.Write{put("b", "1", 0), put("a", "2", 7), put("c", "1", 0)})
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Failed, []int{1})
	_, err = table.Get(ctx, key("b"))
	is.True(errors.Is(err, zinniamast.ErrNotFound))

	last := put("a", "2", 1)
	last.Item.Expires = time.Now().Add(time.Hour)
	is.NoErr(table.Write(ctx, []zinniamast.Write{last, put("b", "1", 0)}))
	item, err := table.Get(ctx, key("a"))
	is.NoErr(err)
	is.Equal(item.Revision, uint64(2))
	is.Equal(string(item.Value), "2")
	is.Equal(item.Token, "writer-2")
	is.True(!item.Expires.Before(last.Item.Expires.Truncate(time.Second)))

	items, err := table.Query(ctx, "p", "", 10)
	is.NoErr(err)
	is.Equal(len(items), 2)
	items, err = table.Query(ctx, "p", "a", 10)
	is.NoErr(err)
	is.Equal(items[0].Key.Sort, "b")

	remove := zinniamast.Write{
		Item:   zinniamast.Item{Key: key("a")},
		Delete: true,
		Expect: 1,
	}
	is.True(errors.Is(table.Write(ctx, []zinniamast.Write{remove}), zinniamast.ErrConflict))
	remove.Expect = 2
	is.NoErr(table.Write(ctx, []zinniamast.Write{remove}))
	big := put("big", strings.Repeat("x", zinniamast.MaxValue+1), 0)
	is.True(errors.Is(table.Write(ctx, []zinniamast.Write{big}), zinniamast.ErrOversized))
}

// The table applies a write and the response is lost. The caller receives an error
// that is neither ErrConflict nor ErrThrottled. The client must not retry the write:
// the retry would conflict with the successful first attempt.
func TestLostResponseIsNotRetried(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table, p := newTable(t, platform.Config{})
	is.NoErr(p.SetFault(platform.ServiceTable, platform.Fault{LoseAnswers: 1}))
	err := table.Write(ctx, []zinniamast.Write{put("a", "1", 0)})
	is.True(err != nil)
	is.True(!errors.Is(err, zinniamast.ErrConflict))
	is.True(!errors.Is(err, zinniamast.ErrThrottled))
	is.Equal(p.Counts().TableWrites, uint64(1))
	item, err := table.Get(ctx, key("a"))
	is.NoErr(err)
	is.Equal(item.Token, "writer-1")
}

// The table throttles, is down, and hangs past the client's deadline. The caller
// receives ErrThrottled in the first case, and in the others, before long, an error
// that leaves the outcome unknown.
func TestFaultErrors(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table, p := newTable(t, platform.Config{})
	is.NoErr(p.SetFault(platform.ServiceTable, platform.Fault{Throttle: true}))
	is.True(errors.Is(table.Write(ctx, []zinniamast.Write{put("a", "1", 0)}), zinniamast.ErrThrottled))
	for _, fault := range []platform.Fault{
		{Down: true},
		{Slow: config.Duration(time.Minute)},
	} {
		is.NoErr(p.SetFault(platform.ServiceTable, fault))
		_, err := table.Get(ctx, key("a"))
		is.True(err != nil)
		is.True(!errors.Is(err, zinniamast.ErrNotFound))
	}
}
