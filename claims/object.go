package claims

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	"golang.org/x/sync/semaphore"

	"zinniamast"
)

// Object proves which object holds an answer that is too large for the table.
type Object struct {
	// Bytes is the object's length.
	Bytes int `json:"bytes"`
	// Hash is the SHA-256 of the object, in hexadecimal.
	Hash string `json:"hash"`
}

// objectPrefix begins the names of all answers, so that the bucket can expire them.
const objectPrefix = "answers/"

// objectName derives the object's name from the claim's nonce, which only
// those who can read the record know.
func objectName(nonce string) string { return objectPrefix + nonce }

// objectFor returns what the record keeps of an object.
func objectFor(content []byte) *Object {
	sum := sha256.Sum256(content)
	return &Object{
		Bytes: len(content),
		Hash:  hex.EncodeToString(sum[:]),
	}
}

// objectHead is the first line of an object; the answer's body follows raw.
type objectHead struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
}

func encodeObject(answer *zinniamast.ServiceAnswer) ([]byte, error) {
	head, err := json.Marshal(objectHead{
		Status: answer.Status,
		Header: answer.Header,
	})
	if err != nil {
		return nil, err
	}
	content := make([]byte, 0, len(head)+1+len(answer.Body))
	content = append(content, head...)
	content = append(content, '\n')
	return append(content, answer.Body...), nil
}

// decodeObject reads an answer from an object that the record proves whole.
//
// Failure: the object was cut short, or another one lies under its name, and a
// caller would get half an answer or somebody else's. Length and hash come
// from the record, which only the claim's holder wrote, so neither passes.
func decodeObject(object *Object, content []byte) (*zinniamast.ServiceAnswer, error) {
	if len(content) != object.Bytes || *objectFor(content) != *object {
		return nil, errObjectMismatch
	}
	line, body, _ := bytes.Cut(content, []byte("\n"))
	var head objectHead
	if err := json.Unmarshal(line, &head); err != nil {
		return nil, errObjectMismatch
	}
	return &zinniamast.ServiceAnswer{
		Status: head.Status,
		Header: head.Header,
		Body:   body,
	}, nil
}

// errObjectMismatch means that an object is not the one that the record names.
var errObjectMismatch = errors.New("claims: the object is not the one that the record names")

// maxHeadBytes bounds what an object may hold beside the answer's body, in bytes.
const maxHeadBytes = 1 << 20

// objects keeps the answers that are too large for the table.
type objects struct {
	store    zinniamast.ObjectStore
	maxBytes int
	timeout  time.Duration
	// writeBudget and reads bound the bytes in memory on their way to and from the
	// store. A store that hangs fills its budget, and answers are not kept then;
	// without them it would fill the node's memory.
	writeBudget *semaphore.Weighted
	readBudget  *semaphore.Weighted
	metrics     *metrics
}

func newObjects(c *Config, m *metrics) *objects {
	return &objects{
		store:       c.Objects,
		maxBytes:    c.MaxObject,
		timeout:     c.ObjectTimeout,
		writeBudget: semaphore.NewWeighted(c.MaxObjectBytes),
		readBudget:  semaphore.NewWeighted(c.MaxObjectBytes),
		metrics:     m,
	}
}

// admit says whether an answer may go to the store; it never waits.
func (o *objects) admit(answer *zinniamast.ServiceAnswer) bool {
	switch {
	case o.store == nil:
		return false
	case len(answer.Body) > o.maxBytes:
		o.metrics.objects.WithLabelValues(objectOversized).Inc()
		return false
	case !o.writeBudget.TryAcquire(int64(len(answer.Body))):
		o.metrics.objects.WithLabelValues(objectBusy).Inc()
		return false
	}
	return true
}

// putAnswer writes an admitted answer and returns its proof, or nil if the store did
// not confirm it in time. Writing it again after a lost answer is harmless.
func (c *Claims) putAnswer(nonce string, answer *zinniamast.ServiceAnswer) *Object {
	defer c.objects.writeBudget.Release(int64(len(answer.Body)))
	ctx, cancel := context.WithTimeout(c.closing, c.objects.timeout)
	defer cancel()
	content, err := encodeObject(answer)
	if err == nil && len(content) <= c.objects.maxBytes+maxHeadBytes {
		if c.putUntilStored(ctx, objectName(nonce), content) {
			return objectFor(content)
		}
	}
	c.metrics.objects.WithLabelValues(objectFailed).Inc()
	return nil
}

// firstPutDelay is the pause after the first failed write; each further one is four
// times as long, so that a store that is down sees four tries an answer.
const firstPutDelay = 100 * time.Millisecond

func (c *Claims) putUntilStored(ctx context.Context, name string, content []byte) bool {
	for pause := firstPutDelay; ; pause *= 4 {
		if c.objects.store.Put(ctx, name, content) == nil {
			return true
		}
		if wait(ctx, pause) != nil {
			return false
		}
	}
}

// deleteObject deletes an object that no record names; what it misses, the bucket's
// expiry takes.
func (c *Claims) deleteObject(nonce string) {
	ctx, cancel := context.WithTimeout(c.closing, c.objects.timeout)
	defer cancel()
	result := objectOrphaned
	if c.objects.store.Delete(ctx, objectName(nonce)) == nil {
		result = objectDeleted
	}
	c.metrics.objects.WithLabelValues(result).Inc()
}

// loadAnswer completes a record whose answer lies in the object store. Whatever
// goes wrong, the record stays as it is: the call ran and its answer is not at hand.
func (c *Claims) loadAnswer(ctx context.Context, record *Record) {
	object := record.Object
	if record.State != StateDone || record.Answer != nil || object == nil || c.objects.store == nil {
		return
	}
	answer, err := c.fetchAnswer(ctx, record.Nonce, object)
	switch {
	case err == nil:
		record.Answer = answer
		c.metrics.objects.WithLabelValues(objectRead).Inc()
	case errors.Is(err, errObjectMismatch):
		c.metrics.objects.WithLabelValues(objectForeign).Inc()
		c.config.Logger.Warn("object is not the answer", "organisation", record.Organisation,
			"service", record.Service, "key", record.Key)
	default:
		c.metrics.objects.WithLabelValues(objectMissed).Inc()
	}
}

func (c *Claims) fetchAnswer(ctx context.Context, nonce string, object *Object) (*zinniamast.ServiceAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.objects.timeout)
	defer cancel()
	if object.Bytes > c.objects.maxBytes+maxHeadBytes {
		return nil, errObjectMismatch
	}
	size := min(int64(object.Bytes), c.config.MaxObjectBytes)
	if err := c.objects.readBudget.Acquire(ctx, size); err != nil {
		return nil, err
	}
	defer c.objects.readBudget.Release(size)
	content, err := c.objects.store.Get(ctx, objectName(nonce))
	if err != nil {
		return nil, err
	}
	return decodeObject(object, content)
}
