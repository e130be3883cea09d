package dynamodb

import (
	"errors"

	"github.com/ansel1/merry/v2"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"

	"zinniamast"
)

// conditionFailed is the cancellation reason code of a write whose condition failed.
const conditionFailed = "ConditionalCheckFailed"

// throttlingCodes are the error codes which mean that nothing was done and that the
// call may be retried later.
var throttlingCodes = map[string]bool{
	"ProvisionedThroughputExceededException": true,
	"RequestLimitExceeded":                   true,
	"ThrottlingException":                    true,
	"ThrottlingError":                        true,
	"TransactionConflictException":           true,
}

// translate converts errors of the SDK to those of the root package. After an error
// that it does not know, the outcome of a write is unknown.
func translate(err error) error {
	if err == nil {
		return nil
	}
	var failed *types.ConditionalCheckFailedException
	if errors.As(err, &failed) {
		return &zinniamast.ConflictError{
			Failed: []int{0},
		}
	}
	var cancelled *types.TransactionCanceledException
	if errors.As(err, &cancelled) {
		return translateCancelled(cancelled)
	}
	var api smithy.APIError
	if errors.As(err, &api) && throttlingCodes[api.ErrorCode()] {
		return merry.Prepend(zinniamast.ErrThrottled, "table")
	}
	return merry.Prepend(err, "table")
}

// translateCancelled distinguishes a failed condition from a temporary conflict with
// another transaction. A cancelled transaction has written nothing.
func translateCancelled(cancelled *types.TransactionCanceledException) error {
	conflict := &zinniamast.ConflictError{}
	for i, reason := range cancelled.CancellationReasons {
		if reason.Code != nil && *reason.Code == conditionFailed {
			conflict.Failed = append(conflict.Failed, i)
		}
	}
	if len(conflict.Failed) > 0 {
		return conflict
	}
	return merry.Prepend(zinniamast.ErrThrottled, "table: transaction cancelled")
}
