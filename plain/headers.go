package plain

// Headers between a node and a plain service; docs/operators/services.md describes
// them for operators of the service.
const (
	// HeaderAttempt carries the ID of the attempt. If the service repeats it in its
	// answer, the node can detect an answer that belongs to another request.
	HeaderAttempt = "Zinniamast-Attempt"
	// HeaderKey carries the idempotency key for services that check keys.
	HeaderKey = "Idempotency-Key"
	// HeaderFence carries the fencing number for services that check it.
	HeaderFence = "Zinniamast-Fence"
	// HeaderNotTaken on a 503 answer states that the service has not begun the request
	// and will not. It counts only in an answer that repeats the ID of the attempt.
	HeaderNotTaken = "Zinniamast-Not-Taken"
	// NotTakenLeaving is the value of HeaderNotTaken from a replica that is leaving.
	NotTakenLeaving = "leaving"
)
