package claims_test

import (
	"context"
	"sync"
	"time"

	"zinniamast"
)

// What the faulty object store does to one write.
const (
	objectNone = iota
	// objectAnswerLost loses the answer of a write that took effect.
	objectAnswerLost
	// objectWriteLost loses the write.
	objectWriteLost
	// objectHangs answers nothing until the caller gives up.
	objectHangs
	// objectTruncated keeps half of the object and confirms it.
	objectTruncated
	// objectReplaced keeps another object of the same length and confirms it.
	objectReplaced
	// objectMissing confirms the object and has none.
	objectMissing
	objectFaultCount
)

// faultyObjects is an object store whose writes meet the faults in turn; after
// them all goes well.
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
