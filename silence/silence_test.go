package silence_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast/silence"
)

// bed is a watch in virtual time.
type bed struct {
	watch *silence.Watch
	ctx   context.Context
	asked atomic.Int64
	leave atomic.Bool
}

func newBed(first, pause time.Duration) *bed {
	ctx, cancel := context.WithCancelCause(context.Background())
	b := &bed{
		ctx: ctx,
	}
	b.watch = silence.New(silence.Config{
		First: first,
		Pause: pause,
		Leave: func() bool {
			b.asked.Add(1)
			return b.leave.Load()
		},
		Cancel: cancel,
	})
	return b
}

// Guards against ending an attempt before the request may leave its replica.
func TestEndsOnlyWhatMayLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		b := newBed(time.Second, time.Second)
		time.Sleep(1900 * time.Millisecond)
		synctest.Wait()
		check.NoErr(b.ctx.Err())
		check.Equal(b.asked.Load(), int64(5))
		b.leave.Store(true)
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		check.Equal(context.Cause(b.ctx), silence.ErrSilent)
		check.True(b.watch.Stop())
	})
}

// Guards against a wait that goes on from before the last sign of life.
func TestHeardStartsTheWaitAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		b := newBed(time.Second, 500*time.Millisecond)
		b.leave.Store(true)
		for range 5 {
			time.Sleep(400 * time.Millisecond)
			b.watch.Heard()
		}
		check.NoErr(b.ctx.Err())
		time.Sleep(600 * time.Millisecond)
		synctest.Wait()
		check.Equal(context.Cause(b.ctx), silence.ErrSilent)
	})
}

// Guards against a watch that pays for a request that has ended.
func TestStoppedAsksNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		b := newBed(time.Second, time.Second)
		time.Sleep(1100 * time.Millisecond)
		synctest.Wait()
		check.True(!b.watch.Stop())
		asked := b.asked.Load()
		b.watch.Heard()
		time.Sleep(time.Minute)
		check.Equal(b.asked.Load(), asked)
	})
}

// Guards against watching a plain answer after its head has come.
func TestNoPauseMeansNoFurtherWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		b := newBed(time.Second, 0)
		b.leave.Store(true)
		b.watch.Heard()
		time.Sleep(time.Minute)
		check.NoErr(b.ctx.Err())
	})
}

// Guards against taking a caller that does not read for a replica that is silent.
func TestRestsWhileNothingIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		b := newBed(time.Second, time.Second)
		b.leave.Store(true)
		b.watch.Heard()
		b.watch.Rest()
		time.Sleep(time.Minute)
		check.NoErr(b.ctx.Err())
		b.watch.Heard()
		time.Sleep(1100 * time.Millisecond)
		synctest.Wait()
		check.Equal(context.Cause(b.ctx), silence.ErrSilent)
	})
}
