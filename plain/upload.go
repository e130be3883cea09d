package plain

import (
	"fmt"
	"io"
	"net/http/httptrace"
	"sync"
	"time"
)

// uploadWait bounds the wait for the rest of an upload whose connection has ended. A reset fails the
// next write; a replica that has closed only its own direction may leave the rest unread.
const uploadWait = 500 * time.Millisecond

// upload is the writing of a request to its connection.
//
// The kernel reports a reset once, to a read or to a write. After a write took it, a read returns
// io.EOF, as if the replica had ended its answer in order.
type upload struct {
	// written is closed when net/http has passed on all of the request, of which it may still
	// buffer the last part, or when a write has failed.
	written   chan struct{}
	onWritten sync.Once
	// writing holds an element during each write, and guards failure, the error of the first
	// write that failed.
	writing chan struct{}
	failure error
}

func newUpload() *upload {
	return &upload{
		written: make(chan struct{}),
		writing: make(chan struct{}, 1),
	}
}

// wrote is called by net/http when it has passed on all of the request or has failed to.
func (u *upload) wrote(httptrace.WroteRequestInfo) {
	u.onWritten.Do(func() { close(u.written) })
}

// write writes a part of the request.
func (u *upload) write(w io.Writer, p []byte) (int, error) {
	u.writing <- struct{}{}
	defer func() { <-u.writing }()
	n, err := w.Write(p)
	if err != nil && u.failure == nil {
		u.failure = err
	}
	return n, err
}

// readEnd returns the error of a read that met the end of the connection: io.EOF, unless a write of
// the request has failed.
func (u *upload) readEnd() error {
	timer := time.NewTimer(uploadWait)
	defer timer.Stop()
	select {
	case <-u.written:
	case <-timer.C:
		return io.EOF
	}
	select {
	case u.writing <- struct{}{}:
		defer func() { <-u.writing }()
	case <-timer.C:
		return io.EOF
	}
	if u.failure == nil {
		return io.EOF
	}
	return fmt.Errorf("%w: the request could not be written: %w", io.ErrUnexpectedEOF, u.failure)
}
