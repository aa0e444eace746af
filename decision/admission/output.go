package admission

import "github.com/wisteriahaven/wisteriahaven/fault"

// Output tells what became of a request: it runs when Refusal is nil.
type Output struct {
	ID      string
	Refusal *fault.Error
}
