package caller

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// ErrorBody is the JSON body of the response to a failed request.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes one failure.
type ErrorDetail struct {
	Code      fault.Code      `json:"code"`
	Message   string          `json:"message"`
	Field     string          `json:"field,omitempty"`
	Execution fault.Execution `json:"execution,omitempty"`
	// RetryAfterMillis is the time that the caller should wait before a retry.
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
	RequestID        string `json:"request_id,omitempty"`
}

// encodeError encodes a failure as an ErrorBody without its causes, which are only logged.
func encodeError(requestID string, failure *fault.Error) []byte {
	message := failure.Reason
	if message == "" {
		message = fault.Lookup(failure.Code).Meaning
	}
	body, err := json.Marshal(ErrorBody{Error: ErrorDetail{
		Code:             failure.Code,
		Message:          message,
		Field:            failure.Field,
		Execution:        failure.Execution,
		RetryAfterMillis: failure.RetryAfter.Milliseconds(),
		RequestID:        requestID,
	}})
	if err != nil {
		return []byte(`{"error":{"code":"internal"}}`)
	}
	return body
}

// retryAfterSeconds returns the value of the Retry-After header, rounded up to whole seconds.
func retryAfterSeconds(wait time.Duration) string {
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}
