package httplimit_test

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/httplimit"
)

// Guards against an ordinary close of a cancelled call's connection, after which
// undelivered data would still reach the peer and run later. The peer must see a
// reset.
func TestAbortiveCloseResets(t *testing.T) {
	check := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	defer listener.Close()
	readErr := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			readErr <- err
			return
		}
		defer conn.Close()
		_, err = conn.Read(make([]byte, 1))
		readErr <- err
	}()
	conn, err := httplimit.DialAbortive(context.Background(), httplimit.Dialer(time.Second), "tcp", listener.Addr().String())
	check.NoErr(err)
	check.NoErr(conn.Close())
	check.True(errors.Is(<-readErr, syscall.ECONNRESET))
}
