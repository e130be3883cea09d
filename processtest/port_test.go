package processtest_test

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"zinniamast/processtest"
)

// Guards against a cut link whose address somebody else gets, who answers there in its place.
func TestCutLinkKeepsItsAddress(t *testing.T) {
	is := is.New(t)
	target, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer target.Close()
	link := processtest.NewLink(t, "link", target.Addr().String())
	for range 3 {
		link.Cut()
		_, err := net.Dial("tcp", link.Address())
		is.True(errors.Is(err, syscall.ECONNREFUSED))
		is.True(!free(t, link.Address()))
		link.Heal()
		connection, err := net.Dial("tcp", link.Address())
		is.NoErr(err)
		is.NoErr(connection.Close())
	}
}

// Guards against a process whose address somebody else gets before it listens or between two starts.
func TestFreeAddressStaysTaken(t *testing.T) {
	is := is.New(t)
	address := processtest.FreeAddress(t)
	for range 3 {
		is.True(!free(t, address))
		listener, err := net.Listen("tcp", address)
		is.NoErr(err)
		is.NoErr(listener.Close())
	}
}

// free says whether nothing is bound to an address: without SO_REUSEADDR a
// listener gets none that is.
func free(t *testing.T, address string) bool {
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
