package processtest

import (
	"net"
	"os"
	"strconv"
	"syscall"
	"testing"
)

// FreeAddress returns host:port on which nothing listens. The port stays taken
// for as long as this process runs: the system gives it to no other listener
// that asks for any port, and to no outgoing connection. A listener that names
// it may come and go; in between, connections to it are refused.
func FreeAddress(tb testing.TB) string {
	tb.Helper()
	port, err := reserve()
	if err != nil {
		tb.Fatalf("reserve a port: %v", err)
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
}

// reserve binds a socket to a free port and never listens on it. Both it and
// net.Listen set SO_REUSEADDR, so that a listener that names the port gets it.
func reserve() (port int, err error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, os.NewSyscallError("socket", err)
	}
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return 0, os.NewSyscallError("setsockopt", err)
	}
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{
		Addr: [4]byte{127, 0, 0, 1},
	}); err != nil {
		return 0, os.NewSyscallError("bind", err)
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		return 0, os.NewSyscallError("getsockname", err)
	}
	return bound.(*syscall.SockaddrInet4).Port, nil
}
