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

// Object describes the object that holds an answer that is too large for the
// table, so that its content can be verified.
type Object struct {
	// Bytes is the length of the object.
	Bytes int `json:"bytes"`
	// Hash is the SHA-256 of the object, in hexadecimal.
	Hash string `json:"hash"`
}

// objectPrefix is the prefix of all answers' object names, so that the bucket can
// expire them by prefix.
const objectPrefix = "answers/"

// objectName derives the object's name from the claim's nonce, which is known
// only to readers of the record.
func objectName(nonce string) string { return objectPrefix + nonce }

// objectFor returns the description of an object with the given content.
func objectFor(content []byte) *Object {
	sum := sha256.Sum256(content)
	return &Object{
		Bytes: len(content),
		Hash:  hex.EncodeToString(sum[:]),
	}
}

// objectHead is the first line of an object, in JSON; the unencoded body of the
// answer follows it.
type objectHead struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`

	EndsWithConnection bool `json:"ends_with_connection,omitempty"`
}

func encodeObject(answer *zinniamast.ServiceAnswer) ([]byte, error) {
	head, err := json.Marshal(objectHead{
		Status: answer.Status,
		Header: answer.Header,

		EndsWithConnection: answer.EndsWithConnection,
	})
	if err != nil {
		return nil, err
	}
	content := make([]byte, 0, len(head)+1+len(answer.Body))
	content = append(content, head...)
	content = append(content, '\n')
	return append(content, answer.Body...), nil
}

// decodeObject verifies the content of an object and returns the answer in it.
//
// If the object was truncated, or another one is stored under its name, a caller
// would receive part of the answer or another caller's. Comparing the length and
// hash in the record, which only the claim's holder writes, detects both.
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

		EndsWithConnection: head.EndsWithConnection,
	}, nil
}

// errObjectMismatch means that an object does not match its record.
var errObjectMismatch = errors.New("claims: object does not match its record")

// maxHeadBytes bounds the part of an object that precedes the answer's body.
const maxHeadBytes = 1 << 20

// objects stores the answers that are too large for the table.
type objects struct {
	store    zinniamast.ObjectStore
	maxBytes int
	timeout  time.Duration
	// writeBudget and readBudget bound the bytes in memory of object writes and
	// reads in progress. When the store hangs, the budget is used up and further
	// answers are not stored; without it they would fill the node's memory.
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

// admit reports whether an answer may be written to the store, and reserves its
// bytes of the write budget if so. It does not block.
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

// putAnswer writes an admitted answer and returns its description, or nil if the
// store did not confirm the write in time. Writing it again after a lost
// response is harmless.
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

// firstPutDelay is the delay after the first failed write. Each further delay is
// four times as long, so that a store that is down receives four attempts per
// answer.
const firstPutDelay = 100 * time.Millisecond

func (c *Claims) putUntilStored(ctx context.Context, name string, content []byte) bool {
	for delay := firstPutDelay; ; delay *= 4 {
		if c.objects.store.Put(ctx, name, content) == nil {
			return true
		}
		if wait(ctx, delay) != nil {
			return false
		}
	}
}

// deleteObject deletes an object that no record refers to. Objects that it fails
// to delete expire by the rule of the bucket.
func (c *Claims) deleteObject(nonce string) {
	ctx, cancel := context.WithTimeout(c.closing, c.objects.timeout)
	defer cancel()
	result := objectOrphaned
	if c.objects.store.Delete(ctx, objectName(nonce)) == nil {
		result = objectDeleted
	}
	c.metrics.objects.WithLabelValues(result).Inc()
}

// loadAnswer adds the answer to a record whose answer is in the object store. On
// any error the record stays unchanged: the call ran and its answer is not
// available.
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
		c.config.Logger.Warn("stored object does not match the claim's answer", "organisation", record.Organisation,
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
