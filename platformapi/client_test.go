package platformapi_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/platformapi"
	"zinniamast/standin/platform"
)

// The response to a start is lost. Retrying with the same token returns the same
// instance, so that it is not paid for twice. Then starts in the failure domain are
// refused, a reclaim notice arrives, and the weight store runs out of permits.
func TestClient(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	offer := zinniamast.Offer{
		FailureDomain: "burnaby-a",
		Class:         "g1",
		Market:        zinniamast.Reclaimable,
		Price:         1.5,
	}
	p := platform.New(platform.Config{
		Offers:         []zinniamast.Offer{offer},
		Weights:        map[string]int64{"draft": 14e9},
		PermitsASecond: 0.001,
	})
	server := httptest.NewServer(p)
	defer server.Close()
	client := platformapi.New(platformapi.Config{
		CloudURL:   server.URL + "/cloud",
		ListURL:    server.URL + "/list",
		WeightsURL: server.URL + "/weights",
	})
	defer client.Close()
	offers, err := client.Offers(ctx)
	is.NoErr(err)
	is.Equal(offers, []zinniamast.Offer{offer})

	is.NoErr(p.SetFault(platform.ServiceCloud, platform.Fault{LoseAnswers: 1}))
	_, err = client.Start(ctx, "token", offer, "engine")
	is.True(err != nil && !errors.Is(err, zinniamast.ErrRefused))
	started, err := client.Start(ctx, "token", offer, "engine")
	is.NoErr(err)
	list, err := client.List(ctx)
	is.NoErr(err)
	is.Equal(len(list), 1)
	is.Equal(list[0].ID, started.ID)
	is.NoErr(p.SetFault(platform.ServiceCloud, platform.Fault{RefuseStarts: []string{"*"}}))
	_, err = client.Start(ctx, "other", offer, "engine")
	is.True(errors.Is(err, zinniamast.ErrRefused))

	p.Cloud.Reclaim(started.ID, time.Minute)
	notices, err := client.Notices(ctx)
	is.NoErr(err)
	is.Equal(notices[0].Instance, started.ID)
	is.NoErr(client.Stop(ctx, started.ID))
	is.NoErr(client.Stop(ctx, started.ID))

	size, err := client.Size(ctx, "draft")
	is.NoErr(err)
	is.Equal(size, int64(14e9))
	_, err = client.Size(ctx, "unknown")
	is.True(errors.Is(err, zinniamast.ErrNotFound))
	is.NoErr(client.Permit(ctx, "draft"))
	is.True(errors.Is(client.Permit(ctx, "draft"), zinniamast.ErrThrottled))
}

// The instance list of a large fleet is the most expensive read of a node. It must be
// transferred compressed if the platform compresses, and its received size must be
// reported.
func TestListIsCompressed(t *testing.T) {
	is := is.New(t)
	const entries = 1000
	var instances []zinniamast.Instance
	for i := range entries {
		instances = append(instances, zinniamast.Instance{
			ID:            fmt.Sprintf("i-%06d", i),
			FailureDomain: "burnaby-a",
			Role:          "engine",
			Service:       "draft",
			Address:       fmt.Sprintf("http://10.0.%d.%d:8000", i/250, i%250),
			Started:       time.Unix(int64(i), 0).UTC(),
		})
	}
	p := platform.New(platform.Config{
		Instances: instances,
	})
	server := httptest.NewServer(p)
	defer server.Close()
	client := platformapi.New(platformapi.Config{
		ListURL: server.URL + "/list",
	})
	defer client.Close()
	list, err := client.List(context.Background())
	is.NoErr(err)
	is.Equal(list, instances)
	is.True(client.ListBytes() > 0)
	is.True(client.ListBytes() < entries*50)
	t.Logf("%d bytes for %d entries", client.ListBytes(), entries)
}
