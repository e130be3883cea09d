package platform

import (
	"context"
	"slices"
	"sync"

	"golang.org/x/time/rate"

	"zinniamast"
)

// Objects is the stand-in for the object store.
type Objects struct {
	gate    *gate
	mu      sync.Mutex
	objects map[string][]byte
}

// Put implements zinniamast.ObjectStore.
func (o *Objects) Put(ctx context.Context, name string, content []byte) error {
	if err := o.gate.admitWrite(ctx, nil, 1); err != nil {
		return err
	}
	o.mu.Lock()
	o.objects[name] = slices.Clone(content)
	o.mu.Unlock()
	return o.gate.completeWrite(1)
}

// Get implements zinniamast.ObjectStore.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := o.gate.admitRead(ctx, nil); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	content, ok := o.objects[name]
	if !ok {
		return nil, zinniamast.ErrNotFound
	}
	return slices.Clone(content), nil
}

// Delete implements zinniamast.ObjectStore.
func (o *Objects) Delete(ctx context.Context, name string) error {
	if err := o.gate.admitWrite(ctx, nil, 1); err != nil {
		return err
	}
	o.mu.Lock()
	delete(o.objects, name)
	o.mu.Unlock()
	return o.gate.completeWrite(1)
}

// Weights is the stand-in for the weight store.
type Weights struct {
	gate    *gate
	permits *rate.Limiter
	sizes   map[string]int64
}

func newWeights(c Config, g *gate) *Weights {
	return &Weights{
		gate:    g,
		permits: newLimiter(c.PermitsASecond),
		sizes:   c.Weights,
	}
}

// Size implements zinniamast.WeightStore.
func (w *Weights) Size(ctx context.Context, model string) (int64, error) {
	if err := w.gate.admitRead(ctx, nil); err != nil {
		return 0, err
	}
	size, ok := w.sizes[model]
	if !ok {
		return 0, zinniamast.ErrNotFound
	}
	return size, nil
}

// Permit implements zinniamast.WeightStore.
func (w *Weights) Permit(ctx context.Context, _ string) error {
	return w.gate.admitRead(ctx, w.permits)
}
