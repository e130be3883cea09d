package processtest

import (
	"net"
	"os"
	"strconv"
	"syscall"
	"testing"
)

// FreeAddress returns a host:port on which nothing listens. The port stays reserved
// while this process runs: the system assigns it neither to another listener that
// asks for any port nor to an outgoing connection. A listener on this port may be
// opened and closed repeatedly. While there is none, connections are refused.
func FreeAddress(tb testing.TB) string {
	tb.Helper()
	port, err := reservePort()
	if err != nil {
		tb.Fatalf("reserve a port: %v", err)
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
}

// reservePort binds a socket to a free port and never listens on it. Both it and
// net.Listen set SO_REUSEADDR, so a listener on this port can still be opened.
func reservePort() (port int, err error) {
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
