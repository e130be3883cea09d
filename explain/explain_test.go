package explain_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"zinniamast/explain"
)

const (
	first = `12.0 edge-1 time=2026-09-25T07:51:21.500Z level=INFO msg=sent request=r-1 replica=i-1 cause="a \"b\" c"
time=2026-09-25T07:51:21.600Z level=INFO msg=sent request=r-12 replica=i-1
not a line about r-1
`
	second = `time=2026-09-25T07:51:21.000Z level=INFO msg=admitted request=r-1
time=2026-09-25T07:51:22.000Z level=WARN msg="broken off" request=r-1 reason=upstream_failed
`
)

func Example() {
	lines, err := explain.Read(nil, "edge-1", strings.NewReader(first), "r-1")
	if err != nil {
		fmt.Println(err)
	}
	lines, err = explain.Read(lines, "edge-2", strings.NewReader(second), "r-1")
	if err != nil {
		fmt.Println(err)
	}
	if err := explain.Write(os.Stdout, "r-1", lines); err != nil {
		fmt.Println(err)
	}
	// Output:
	// request r-1, from 2026-09-25T07:51:21Z
	//    +0.000s  edge-2       admitted
	//    +0.500s  edge-1       sent           replica=i-1 cause=a "b" c
	//    +1.000s  edge-2       broken off     reason=upstream_failed
}

// A request ID that no log contains is an error and not an empty history.
func TestUnknownRequest(t *testing.T) {
	check := is.New(t)
	lines, err := explain.Read(nil, "edge-1", strings.NewReader(first), "r-9")
	check.NoErr(err)
	check.Equal(explain.Write(&strings.Builder{}, "r-9", lines), explain.ErrRequestNotFound)
}

// Guards against a history that does not tell why a request waited, or tells it of other lines.
func TestWaitIsDescribed(t *testing.T) {
	check := is.New(t)
	const log = `time=2026-09-25T07:51:21.000Z level=INFO msg="request waits for a place" request=r-1 position=9
time=2026-09-25T07:51:21.312Z level=INFO msg="request has waited" request=r-1 waited=312ms position=7 ahead_urgent=4 ahead_own=2 ahead_others=0 begun_urgent=5 begun_same=3 begun_deferred=1
time=2026-09-25T07:51:21.313Z level=INFO msg="request has waited" request=r-1
`
	lines, err := explain.Read(nil, "edge-1", strings.NewReader(log), "r-1")
	check.NoErr(err)
	var out strings.Builder
	check.NoErr(explain.Write(&out, "r-1", lines))
	check.Equal(strings.Count(out.String(), "waited 312ms from position 7: 4 of more urgent classes, 2 of its organisation and 0 of others in its class were before it; "+
		"5 more urgent, 3 of its class and 1 less urgent requests began at replicas meanwhile\n"), 1)
	check.Equal(strings.Count(out.String(), "from position"), 1)
}
