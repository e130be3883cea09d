package tablebudget_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/dynamodb"
	"zinniamast/standin/platform"
	"zinniamast/tablebudget"
)

// Over real connections the table applies a write and drops the connection
// instead of answering. The caller must get success for it, the write must be
// applied once, and a later write may conflict only with the caller's own.
func TestLostAnswersOverConnections(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := platform.New(platform.Config{})
	server := httptest.NewServer(p)
	defer server.Close()
	table := dynamodb.New(dynamodb.Config{
		URL:       server.URL + "/table",
		Table:     "zinniamast",
		Region:    "local",
		AccessKey: "access",
		SecretKey: "secret",
		Timeout:   time.Second,
	})
	defer table.Close()
	path := tablebudget.New(tablebudget.Config{
		Table:           table,
		WritesPerSecond: 100,
		ReadsPerSecond:  100,
	})
	defer path.Close()
	is.NoErr(p.SetFault(platform.ServiceTable, platform.Fault{LoseAnswers: 2}))
	is.NoErr(path.Write(ctx, []zinniamast.Write{newWrite("a", "", 0), newWrite("b", "", 0)}))
	item, err := path.Get(ctx, newWrite("a", "", 0).Item.Key)
	is.NoErr(err)
	is.Equal(item.Revision, uint64(1))
	is.True(errors.Is(path.Write(ctx, []zinniamast.Write{newWrite("b", "", 0)}), zinniamast.ErrConflict))
	is.Equal(p.Counts().Lost, uint64(1))
}
