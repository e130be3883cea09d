package processtest_test

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/processtest"
)

// streamEndlessly writes to every connection of listener until its reader leaves.
func streamEndlessly(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			chunk := make([]byte, 4096)
			for {
				if _, err := c.Write(chunk); err != nil {
					return
				}
			}
		}()
	}
}

// TestLinkFaultsBesideLeavingReaders guards against a link that hangs as readers leave.
func TestLinkFaultsBesideLeavingReaders(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	go streamEndlessly(target)
	link := processtest.NewLink(t, "link", target.Addr().String())

	stop := make(chan struct{})
	var readers sync.WaitGroup
	for range 16 {
		readers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				c, err := net.Dial("tcp", link.Address())
				if err != nil {
					continue
				}
				_, _ = io.CopyN(io.Discard, c, 1<<16)
				_ = c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}
		})
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 400 {
			link.Delay(time.Millisecond)
			time.Sleep(2 * time.Millisecond)
			link.Clear()
			time.Sleep(2 * time.Millisecond)
		}
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Error("the link hangs while it changes its fault")
	}
	close(stop)
	readers.Wait()
}

// TestLinkFaults guards against faults that let responses pass or break connections unasked.
func TestLinkFaults(t *testing.T) {
	is := is.New(t)
	target, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer target.Close()
	go echo(target)
	link := processtest.NewLink(t, "link", target.Addr().String())

	c := dial(t, link)
	link.Delay(200 * time.Millisecond)
	began := time.Now()
	is.Equal(ask(c, 5*time.Second), nil)
	is.True(time.Since(began) >= 200*time.Millisecond)
	link.Clear()

	link.DropResponses()
	is.True(errors.Is(ask(c, 200*time.Millisecond), os.ErrDeadlineExceeded)) // open, but silent
	link.Clear()
	is.Equal(ask(c, 5*time.Second), io.EOF) // a stream with a gap does not go on

	c = dial(t, link)
	link.Reset()
	is.True(errors.Is(ask(c, 5*time.Second), syscall.ECONNRESET))
	link.Clear()
	is.Equal(ask(dial(t, link), 5*time.Second), nil)
}

// echo returns to each connection of listener what it receives.
func echo(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			_, _ = io.Copy(c, c)
		}()
	}
}

func dial(t *testing.T, link *processtest.Link) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", link.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// ask sends a byte and waits for its return.
func ask(c net.Conn, timeout time.Duration) error {
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := c.Read(make([]byte, 1))
	return err
}
