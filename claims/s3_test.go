package claims_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/claims"
	"zinniamast/s3"
	"zinniamast/standin/platform"
)

// The object store loses the first response after it wrote the object. The node
// must write the object again through the S3 client and link it to the record, so
// that another node reads the same answer.
func TestLargeAnswerThroughS3(t *testing.T) {
	is := is.New(t)
	p := platform.New(platform.Config{})
	server := httptest.NewServer(p)
	defer server.Close()
	store := s3.New(s3.Config{
		URL:       server.URL + "/objects",
		Bucket:    "bucket",
		Region:    "local",
		AccessKey: "access",
		SecretKey: "secret",
	})
	defer store.Close()
	is.NoErr(p.SetFault(platform.ServiceObjects, platform.Fault{LoseAnswers: 1}))
	newNode := func() *claims.Claims {
		return claims.New(claims.Config{
			Table:         p.Table,
			Objects:       store,
			ObjectTimeout: time.Minute,
		})
	}
	holder, other := newNode(), newNode()
	result, err := holder.Begin(t.Context(), largeCall("k"))
	is.NoErr(err)
	answer := zinniamast.ServiceAnswer{
		Status: 201,
		Header: map[string][]string{"Content-Type": {"text/plain"}},
		Body:   make([]byte, 1<<20),
	}
	result.Claim.Answer(answer)
	for {
		record, err := other.Read(t.Context(), largeCall("k"))
		is.NoErr(err)
		if record.Object != nil {
			is.Equal(*record.Answer, answer)
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(holder.Close(t.Context()), 0)
	is.Equal(other.Close(t.Context()), 0)
}
