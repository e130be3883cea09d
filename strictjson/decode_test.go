package strictjson_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"zinniamast/strictjson"
)

// A field occurs twice, at the top level or nested. The document must be rejected
// with the line and the path instead of being decoded with the last value.
func TestDuplicateField(t *testing.T) {
	type inner struct {
		A int     `json:"a"`
		B []inner `json:"b"`
	}
	cases := map[string]string{
		"{\"a\":1,\n\"a\":2}":           "line 2: a is given twice",
		`{"b":[{"a":1},{"a":1,"a":2}]}`: "line 1: b.[1].a is given twice",
	}
	for document, want := range cases {
		check := is.New(t)
		var target inner
		err := strictjson.Decode([]byte(document), &target)
		check.True(err != nil)
		check.Equal(err.Error(), want)
	}
	var target inner
	is.New(t).NoErr(strictjson.Decode([]byte(`{"a":1,"b":[{"a":1},{"a":2}]}`), &target))
}

// Invalid JSON is reported as such and not as a duplicate field.
func TestInvalidJSON(t *testing.T) {
	var target struct{}
	err := strictjson.Decode([]byte(`{"a":`), &target)
	check := is.New(t)
	check.True(err != nil)
	check.True(!strings.Contains(err.Error(), "twice"))
}
