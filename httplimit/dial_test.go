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

// A call is given up and its connection closed. The peer sees a reset and no
// ordinary end: what was not delivered is discarded, and is not run later.
func TestAbortiveCloseResets(t *testing.T) {
	check := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	defer listener.Close()
	read := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			read <- err
			return
		}
		defer conn.Close()
		_, err = conn.Read(make([]byte, 1))
		read <- err
	}()
	conn, err := httplimit.DialAbortive(context.Background(), httplimit.Dialer(time.Second), "tcp", listener.Addr().String())
	check.NoErr(err)
	check.NoErr(conn.Close())
	check.True(errors.Is(<-read, syscall.ECONNRESET))
}
