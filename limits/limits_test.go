package limits_test

import (
	"testing"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/limits"
)

// Guards against admitting requests beyond the memory cap, after which the kernel
// would kill the node with all its streams: open requests fill the cap, and another
// one must be refused with memory_full, "not run" and a retry time.
func TestMemoryCapRefuses(t *testing.T) {
	is := is.New(t)
	limiter := limits.New(limits.Config{MemoryCap: 1000})
	first, err := limiter.Admit(zinniamast.Admission{Bytes: 600})
	is.NoErr(err)
	_, err = limiter.Admit(zinniamast.Admission{Bytes: 600})
	refusal := zinniamast.AsRefusal(err)
	is.Equal(refusal.Reason, zinniamast.ReasonMemoryFull)
	is.Equal(refusal.Ran, zinniamast.NotRun)
	is.True(refusal.RetryAfter > 0)
	is.True(first.Grow(400))
	is.True(!first.Grow(1))
	first.Release()
	first.Release()
	second, err := limiter.Admit(zinniamast.Admission{Bytes: 1000})
	is.NoErr(err)
	second.Release()
}
