package fault

import "net/http"

// Failures of orders that move a service to another software version.
const (
	RolloutInvalid  Code = "rollout_invalid"
	RolloutConflict Code = "rollout_conflict"
)

var rolloutDefinitions = map[Code]Definition{
	RolloutInvalid:  {http.StatusBadRequest, "an order to move a service to another software version is wrong: it has no effect", "correct the named field and write the order again"},
	RolloutConflict: {http.StatusConflict, "an order changed while its state was written", "none; it is read again"},
}
