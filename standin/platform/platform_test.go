package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/standin/platform"
)

// A write whose answer is lost returns an error although it has taken effect. A
// stale table answers reads with the state at the time the fault was set, as a
// store does that recovers with old data.
func TestTableFaults(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := platform.New(platform.Config{})
	key := zinniamast.Key{
		Partition: "p",
		Sort:      "s",
	}
	put := func(expect uint64, value string) error {
		return p.Table.Write(ctx, []zinniamast.Write{{
			Item: zinniamast.Item{
				Key:   key,
				Value: []byte(value),
			},
			Expect: expect,
		}})
	}
	is.NoErr(p.SetFault(platform.ServiceTable, platform.Fault{LoseAnswers: 1}))
	is.True(errors.Is(put(0, "one"), platform.ErrLost))
	is.True(errors.Is(put(0, "again"), zinniamast.ErrConflict))
	is.NoErr(p.SetFault(platform.ServiceTable, platform.Fault{Stale: true}))
	is.NoErr(put(1, "two"))
	item, err := p.Table.Get(ctx, key)
	is.NoErr(err)
	is.Equal(string(item.Value), "one")
	is.NoErr(p.SetFault(platform.ServiceTable, platform.Fault{}))
	item, err = p.Table.Get(ctx, key)
	is.NoErr(err)
	is.Equal(string(item.Value), "two")
	is.Equal(item.Revision, uint64(2))
	is.NoErr(p.SetFault(platform.ServiceTable, platform.Fault{Down: true}))
	is.True(errors.Is(put(2, "three"), platform.ErrDown))
}

// When a failure domain is reclaimed, the notice is visible at once, the lagging
// list does not show the instance as leaving yet, and the instance is removed at
// its leave time.
func TestInstanceListLagsBehindReclaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		p := platform.New(platform.Config{ListLag: 5 * time.Second})
		offer := zinniamast.Offer{
			FailureDomain: "a",
			Market:        zinniamast.Reclaimable,
		}
		bought, err := p.Cloud.Start(ctx, "token", offer, "engine")
		is.NoErr(err)
		again, err := p.Cloud.Start(ctx, "token", offer, "engine")
		is.NoErr(err)
		is.Equal(again.ID, bought.ID)
		time.Sleep(10 * time.Second)
		p.Cloud.ReclaimDomain("a", 30*time.Second)
		notices, err := p.Cloud.Notices(ctx)
		is.NoErr(err)
		is.Equal(len(notices), 1)
		list, err := p.Cloud.List(ctx)
		is.NoErr(err)
		is.True(!list[0].Leaving)
		time.Sleep(6 * time.Second)
		list, err = p.Cloud.List(ctx)
		is.NoErr(err)
		is.True(list[0].Leaving)
		time.Sleep(25 * time.Second)
		is.Equal(len(p.Cloud.Live()), 0)
	})
}

// A fault set through the control endpoint breaks the next call of that service,
// and the call is counted.
func TestControlEndpoint(t *testing.T) {
	is := is.New(t)
	p := platform.New(platform.Config{})
	server := httptest.NewServer(p)
	defer server.Close()
	raw, err := json.Marshal(platform.Fault{Down: true})
	is.NoErr(err)
	request, err := http.NewRequest(http.MethodPut, server.URL+"/control/faults/list", bytes.NewReader(raw))
	is.NoErr(err)
	answer, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	is.NoErr(answer.Body.Close())
	broken, err := http.Get(server.URL + "/list/instances")
	if err == nil {
		is.NoErr(broken.Body.Close())
	}
	is.True(err != nil)
	is.True(p.Counts().ListCalls > 0)
}
