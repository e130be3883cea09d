package claims_test

import (
	"context"
	"sync"
	"time"

	"zinniamast"
)

// Faults of the object store on one write.
const (
	objectNone = iota
	// objectAnswerLost loses the response of a write that took effect.
	objectAnswerLost
	// objectWriteLost loses the write before it takes effect.
	objectWriteLost
	// objectHangs does not respond until the caller's context ends.
	objectHangs
	// objectTruncated stores half of the object and confirms the write.
	objectTruncated
	// objectReplaced stores another object of the same length and confirms the write.
	objectReplaced
	// objectMissing confirms the write and stores nothing.
	objectMissing
	objectFaultCount
)

// faultyObjects is an object store that applies the faults to its writes in
// order; later writes succeed.
type faultyObjects struct {
	mu      sync.Mutex
	faults  []int
	content map[string][]byte
}

func newFaultyObjects(faults []int) *faultyObjects {
	return &faultyObjects{
		faults:  faults,
		content: map[string][]byte{},
	}
}

func (o *faultyObjects) nextFault() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.faults) == 0 {
		return objectNone
	}
	fault := o.faults[0]
	o.faults = o.faults[1:]
	return fault
}

func (o *faultyObjects) store(name string, content []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.content[name] = content
}

func (o *faultyObjects) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.content)
}

func (o *faultyObjects) Put(ctx context.Context, name string, content []byte) error {
	time.Sleep(20 * time.Millisecond)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	switch o.nextFault() {
	case objectAnswerLost:
		o.store(name, content)
		return errBroken
	case objectWriteLost:
		return errBroken
	case objectHangs:
		<-ctx.Done()
		return ctx.Err()
	case objectTruncated:
		o.store(name, content[:len(content)/2])
	case objectReplaced:
		foreign := append([]byte{}, content...)
		foreign[len(foreign)-1]++
		o.store(name, foreign)
	case objectMissing:
	default:
		o.store(name, content)
	}
	return nil
}

func (o *faultyObjects) Get(_ context.Context, name string) ([]byte, error) {
	time.Sleep(20 * time.Millisecond)
	o.mu.Lock()
	defer o.mu.Unlock()
	content, ok := o.content[name]
	if !ok {
		return nil, zinniamast.ErrNotFound
	}
	return content, nil
}

func (o *faultyObjects) Delete(_ context.Context, name string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.content, name)
	return nil
}
