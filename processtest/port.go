package processtest

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
)

// The ports that tests listen on lie below those that the system gives to
// outgoing connections: one of those could otherwise take a port between the
// moment it is chosen and the moment its process listens.
const (
	firstPort   = 12000
	ports       = 20000
	portsPerRun = 200
)

var nextPort atomic.Int64

// FreeAddress returns host:port on which nothing listens.
func FreeAddress(tb testing.TB) string {
	tb.Helper()
	begin := int64(os.Getpid()) * portsPerRun
	for range ports {
		port := firstPort + (begin+nextPort.Add(1))%ports
		address := net.JoinHostPort("127.0.0.1", strconv.FormatInt(port, 10))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address
	}
	tb.Fatal("no free port")
	return ""
}
