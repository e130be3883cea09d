package issuedkeys_test

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/issuedkeys"
)

const secret = "a shared key of at least 32 characters"

func newIssuer(secrets ...string) *issuedkeys.Issuer {
	return issuedkeys.New(issuedkeys.Config{
		Node:    "node.1",
		Secrets: secrets,
	})
}

func ExampleIssuer_Issue() {
	issuer := newIssuer(secret)
	keys, _ := issuer.Issue("north", "booking", 2)
	key, err := issuer.Verify("north", "booking", keys[1])
	fmt.Println(key.Node, key.Serial, err)
	// Output: node.1 2 <nil>
}

// A key is rejected if another organisation or service presents it, if it was
// altered, or if it was signed with a secret that has been removed.
func TestVerify(t *testing.T) {
	is := is.New(t)
	old, rotated, dropped := newIssuer(secret), newIssuer("the next "+secret, secret), newIssuer("the next "+secret)
	keys, _ := old.Issue("north", "booking", 1)
	cases := []struct {
		issuer                     *issuedkeys.Issuer
		organisation, service, key string
		want                       error
	}{
		{issuer: old, organisation: "north", service: "booking", key: keys[0]},
		{issuer: rotated, organisation: "north", service: "booking", key: keys[0]},
		{issuer: dropped, organisation: "north", service: "booking", key: keys[0], want: issuedkeys.ErrNotIssued},
		{issuer: old, organisation: "south", service: "booking", key: keys[0], want: issuedkeys.ErrNotIssued},
		{issuer: old, organisation: "north", service: "orders", key: keys[0], want: issuedkeys.ErrNotIssued},
		{issuer: old, organisation: "north", service: "booking", key: strings.Replace(keys[0], ".1.", ".01.", 1), want: issuedkeys.ErrNotIssued},
		{issuer: old, organisation: "north", service: "booking", key: "zk1.x", want: issuedkeys.ErrNotIssued},
	}
	for _, c := range cases {
		_, err := c.issuer.Verify(c.organisation, c.service, c.key)
		is.True(errors.Is(err, c.want))
	}
}

// A hundred requests present the same key at once. Only one of them may run the
// call. A restarted process of the same name may not run it and must report its
// outcome as unknown.
func TestTakeAllowsOneUse(t *testing.T) {
	is := is.New(t)
	issuer := newIssuer(secret)
	keys, _ := issuer.Issue("north", "booking", 1)
	key, err := issuer.Verify("north", "booking", keys[0])
	is.NoErr(err)
	var takenCount atomic.Int32
	var done sync.WaitGroup
	for range 100 {
		done.Go(func() {
			if _, taken, _ := issuer.Take(key, "call"); taken {
				takenCount.Add(1)
			}
		})
	}
	done.Wait()
	is.Equal(takenCount.Load(), int32(1))
	_, _, err = issuer.Take(key, "another call")
	is.True(errors.Is(err, issuedkeys.ErrConflict))
	restarted := newIssuer(secret)
	_, _, err = restarted.Take(key, "call")
	is.True(errors.Is(err, issuedkeys.ErrOtherIssuer))
	is.Equal(restarted.RunState(keys[0]), zinniamast.Unknown)
}

// A key counts as not run before its use and after a use that did not run. A key
// whose outcome has been removed is unknown and cannot be used again.
func TestKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		issuer := newIssuer(secret)
		keys, expires := issuer.Issue("north", "booking", 2)
		key, err := issuer.Verify("north", "booking", keys[0])
		is.NoErr(err)
		is.Equal(issuer.RunState(keys[0]), zinniamast.NotRun)
		use, _, _ := issuer.Take(key, "call")
		is.Equal(issuer.RunState(keys[0]), zinniamast.Unknown)
		use.End(nil, zinniamast.Refuse(zinniamast.ReasonNoUpstream, "none"))
		is.Equal(issuer.RunState(keys[0]), zinniamast.NotRun)
		use, taken, _ := issuer.Take(key, "call")
		is.True(taken) // a call that did not run may start again
		use.End(&zinniamast.ServiceAnswer{Status: 200}, nil)
		is.Equal(issuer.RunState(keys[0]), zinniamast.DidRun)
		time.Sleep(time.Until(expires) + time.Second)
		unused, _ := issuer.Verify("north", "booking", keys[1])
		_, _, err = issuer.Take(unused, "call")
		is.True(errors.Is(err, issuedkeys.ErrExpired))
		is.Equal(issuer.RunState(keys[1]), zinniamast.NotRun)
		time.Sleep(2 * time.Hour)
		issuer.Take(unused, "call") // sweeps
		_, _, err = issuer.Take(key, "call")
		is.True(errors.Is(err, issuedkeys.ErrExpired))
		is.Equal(issuer.RunState(keys[0]), zinniamast.Unknown)
	})
}
