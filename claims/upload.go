package claims

import (
	"errors"

	"zinniamast"
)

// upload is a large answer that is being written to the object store.
type upload struct {
	answer *zinniamast.ServiceAnswer
	// object receives the description of the stored object, or nil if the answer
	// was not stored.
	object chan *Object
}

// startUpload writes the object concurrently with the outcome, not before it: a
// store that hangs must not delay the outcome, which would be lost if the node
// died meanwhile.
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

// setObject replaces the answer in this node's memory with the object's
// description, which is nil if the answer was not stored.
func (l *Claim) setObject(object *Object) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.Answer = nil
	l.record.Object = object
}

// linkObject adds the object's description to the saved record. It waits until
// the store has confirmed the object, so that a record never refers to an object
// that is not written yet.
func (c *Claims) linkObject(name string, p *pendingOutcome) {
	object := <-p.upload.object
	if object == nil {
		return
	}
	delay := minRetryDelay
	for !c.tryLinkObject(name, p.after.Nonce, object) {
		if wait(c.closing, delay) != nil {
			return
		}
		delay = min(2*delay, storeRetryAfter)
	}
}

// tryLinkObject attempts the write once and reports whether no further attempt
// is needed.
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
		// An earlier write took effect and its response was lost.
		c.metrics.objects.WithLabelValues(objectKept).Inc()
		return true
	}
	after := record
	after.Object = object
	err = c.write(c.closing, recordWrites(&record, &after, revision, c.config.Retention))
	if err == nil {
		c.metrics.objects.WithLabelValues(objectKept).Inc()
	}
	// After a conflict the record is read again: an earlier attempt of this write
	// may have taken effect late.
	return err == nil || errors.Is(err, zinniamast.ErrOversized)
}
