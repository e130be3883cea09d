package peer

import (
	"context"
	"errors"
	"net/rpc"

	"github.com/ansel1/merry/v2"
)

// Errors that callers of a pool distinguish.
var (
	// ErrUnreachable means that no connection was established; the call did not run.
	ErrUnreachable = merry.Sentinel("peer unreachable")
	// ErrRefused means that one end did not accept the key of the other; the call did not run.
	ErrRefused = merry.Sentinel("peer refused the key")
	// ErrTooLarge means that the message is above the limit; the call did not run.
	ErrTooLarge = merry.Sentinel("message too large")
	// ErrTimeout means that no reply arrived in time; the call may have run.
	ErrTimeout = merry.Sentinel("peer timed out")
	// ErrLost means that the connection was lost after the call was sent; the call may have run.
	ErrLost = merry.Sentinel("connection to peer lost")
	// ErrClosed means that the pool or server was closed; the call did not run.
	ErrClosed = merry.Sentinel("closed")
)

// RemoteError is an error returned by the called method.
type RemoteError struct {
	// Message is the text of the method's error.
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Message }

// DidNotRun reports whether the error shows that the called method did not run.
func DidNotRun(err error) bool {
	return errors.Is(err, ErrUnreachable) || errors.Is(err, ErrRefused) ||
		errors.Is(err, ErrTooLarge) || errors.Is(err, ErrClosed)
}

// translateDial translates an error of dialling or of the handshake.
func translateDial(err error) error {
	if errors.Is(err, ErrRefused) || errors.Is(err, ErrClosed) {
		return err
	}
	return wrap(ErrUnreachable, err)
}

// translateCall translates an error of a call that was passed to a connection.
func translateCall(err error) error {
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return &RemoteError{
			Message: string(remote),
		}
	}
	if errors.Is(err, ErrTooLarge) {
		return err
	}
	return wrap(ErrLost, err)
}

// translateContext translates the error of a caller's context.
func translateContext(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return wrap(ErrTimeout, err)
	}
	return err
}

func wrap(sentinel, cause error) error {
	return merry.Wrap(sentinel, merry.WithCause(cause), merry.NoCaptureStack())
}
