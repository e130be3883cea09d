package discovery

import (
	"context"
	"time"

	"zinniamast"
)

const (
	// listBytesPerSecond is the average traffic that one node may spend on
	// reading the list.
	listBytesPerSecond = 1000
	// estimatedEntryBytes is the assumed size of an entry if the client does
	// not report the size of its response.
	estimatedEntryBytes = 300
	// maxListInterval bounds the age of a list, whatever its size.
	maxListInterval = 5 * time.Minute
)

// SizedList is an instance list that reports the size of its last response on
// the wire, in bytes.
type SizedList interface {
	ListBytes() int64
}

// PacedList shares the reads of the instance list among all users on one node
// and limits their rate, so that the traffic does not grow with the fleet.
type PacedList struct {
	list zinniamast.InstanceList
	// readLock is held during a read; other callers wait and share the result.
	readLock chan struct{}
	last     []zinniamast.Instance
	readAt   time.Time
	interval time.Duration
}

// NewPacedList returns a PacedList that reads from list.
func NewPacedList(list zinniamast.InstanceList) *PacedList {
	return &PacedList{
		list:     list,
		readLock: make(chan struct{}, 1),
	}
}

// Read reads the list from the platform, regardless of the interval.
func (p *PacedList) Read(ctx context.Context) ([]zinniamast.Instance, error) {
	return p.get(ctx, func() bool { return true })
}

// List implements zinniamast.InstanceList. It returns the last list until
// another read fits the traffic budget of the node. The slice is shared and
// must not be modified.
func (p *PacedList) List(ctx context.Context) ([]zinniamast.Instance, error) {
	return p.get(ctx, func() bool { return len(p.last) == 0 || time.Since(p.readAt) >= p.interval })
}

// Interval returns the time between reads that keeps within the traffic budget
// of the node.
func (p *PacedList) Interval() time.Duration {
	p.readLock <- struct{}{}
	defer func() { <-p.readLock }()
	return p.interval
}

func (p *PacedList) get(ctx context.Context, due func() bool) ([]zinniamast.Instance, error) {
	select {
	case p.readLock <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-p.readLock }()
	if !due() {
		return p.last, nil
	}
	instances, err := p.list.List(ctx)
	if err != nil {
		return nil, err
	}
	p.last, p.readAt, p.interval = instances, time.Now(), p.intervalFor(len(instances))
	return instances, nil
}

func (p *PacedList) intervalFor(entries int) time.Duration {
	size := int64(entries) * estimatedEntryBytes
	if measured, ok := p.list.(SizedList); ok {
		size = measured.ListBytes()
	}
	return min(time.Duration(size)*time.Second/listBytesPerSecond, maxListInterval)
}
