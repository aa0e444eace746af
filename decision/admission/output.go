package admission

import "github.com/wisteriahaven/wisteriahaven/fault"

// Output is the decision on a request: it runs when Refusal is nil.
type Output struct {
	ID      string
	Refusal *fault.Error
}
