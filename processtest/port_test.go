package processtest_test

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"zinniamast/processtest"
)

// TestCutLinkKeepsAddress guards against a cut link whose port the system assigns to
// another listener, which then answers the link's connections.
func TestCutLinkKeepsAddress(t *testing.T) {
	is := is.New(t)
	target, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer target.Close()
	link := processtest.NewLink(t, "link", target.Addr().String())
	for range 3 {
		link.Cut()
		_, err := net.Dial("tcp", link.Address())
		is.True(errors.Is(err, syscall.ECONNREFUSED))
		is.True(!isFree(t, link.Address()))
		link.Heal()
		connection, err := net.Dial("tcp", link.Address())
		is.NoErr(err)
		is.NoErr(connection.Close())
	}
}

// TestFreeAddressStaysReserved guards against a port that the system assigns to another
// listener before its process listens or between two starts of the process.
func TestFreeAddressStaysReserved(t *testing.T) {
	is := is.New(t)
	address := processtest.FreeAddress(t)
	for range 3 {
		is.True(!isFree(t, address))
		listener, err := net.Listen("tcp", address)
		is.NoErr(err)
		is.NoErr(listener.Close())
	}
}

// isFree reports whether no socket is bound to an address. It listens without
// SO_REUSEADDR, which fails if one is bound.
func isFree(t *testing.T, address string) bool {
	t.Helper()
	config := net.ListenConfig{
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			if controlErr := raw.Control(func(socket uintptr) {
				err = syscall.SetsockoptInt(int(socket), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0)
			}); controlErr != nil {
				return controlErr
			}
			return err
		},
	}
	listener, err := config.Listen(t.Context(), "tcp", address)
	if errors.Is(err, syscall.EADDRINUSE) {
		return false
	}
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	return true
}
