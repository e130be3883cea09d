package claims

import (
	"errors"

	"zinniamast"
)

// upload is a large answer on its way into the object store.
type upload struct {
	answer *zinniamast.ServiceAnswer
	// object delivers the proof, or nil if the answer is not kept.
	object chan *Object
}

// startUpload writes the object beside the outcome, not before it: a store
// that hangs must not hold back the outcome, which would be lost with the node.
func (c *Claims) startUpload(claim *Claim, answer *zinniamast.ServiceAnswer) *upload {
	u := &upload{
		answer: answer,
		object: make(chan *Object, 1),
	}
	nonce := claim.record.Nonce
	started := c.writers.start(func() {
		object := c.putAnswer(nonce, answer)
		claim.setObject(object)
		u.object <- object
	})
	if !started {
		c.objects.writeBudget.Release(int64(len(answer.Body)))
		u.object <- nil
	}
	return u
}

// setObject replaces the answer in this node's memory by its object.
func (l *Claim) setObject(object *Object) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.Answer = nil
	l.record.Object = object
}

// linkObject lets the saved record name its object. The object is whole in the
// store by then, so a record never names one that is still to be written.
func (c *Claims) linkObject(name string, s *pendingOutcome) {
	object := <-s.upload.object
	if object == nil {
		return
	}
	pause := minRetryDelay
	for !c.tryLinkObject(name, s.after.Nonce, object) {
		if wait(c.closing, pause) != nil {
			return
		}
		pause = min(2*pause, storeRetryAfter)
	}
}

// tryLinkObject reports whether nothing is left to be done.
func (c *Claims) tryLinkObject(name, nonce string, object *Object) bool {
	select {
	case c.writeSlots <- struct{}{}:
	case <-c.closing.Done():
		return false
	}
	defer func() { <-c.writeSlots }()
	record, revision, err := c.get(c.closing, name)
	if err != nil {
		return false
	}
	if record.Nonce != nonce || record.State != StateDone {
		c.deleteObject(nonce)
		return true
	}
	if record.Object != nil {
		// An earlier write took effect and its answer was lost.
		c.metrics.objects.WithLabelValues(objectKept).Inc()
		return true
	}
	after := record
	after.Object = object
	err = c.write(c.closing, recordWrites(&record, &after, revision, c.config.Retention))
	if err == nil {
		c.metrics.objects.WithLabelValues(objectKept).Inc()
	}
	// A conflict is read again: it may be this write's own late effect.
	return err == nil || errors.Is(err, zinniamast.ErrOversized)
}
