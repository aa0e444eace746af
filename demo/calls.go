package demo

import (
	"context"
	"fmt"

	"github.com/wisteriahaven/wisteriahaven/client"
	"github.com/wisteriahaven/wisteriahaven/estate"
)

// callsPerOperation is the number of calls to each operation, each with its own
// idempotency key.
const callsPerOperation = 5

// callsRunAtMostOnce calls every operation of the plain services and checks that no
// call ran more than once at the backend servers.
func (d *Demo) callsRunAtMostOnce(ctx context.Context) Result {
	result := Result{Scenario: "calls run at most once"}
	addresses := d.estate.CallerAddresses()[1:]
	for _, service := range d.estate.Configuration.Services {
		if service.Kind != estate.ServiceCall {
			continue
		}
		for _, operation := range service.Operations {
			for i := range callsPerOperation {
				key := fmt.Sprintf("%s-%s-%d", service.Name, operation.Name, i)
				call := client.Call{Service: service.Name, Operation: operation.Name, IdempotencyKey: key, Body: []byte("{}")}
				_, err := d.client(i, addresses).Call(ctx, call)
				result.Answers++
				if err != nil {
					result.Failures = append(result.Failures, key+": "+err.Error())
				}
			}
		}
	}
	for key, runs := range d.runsByKey() {
		if runs > 1 {
			result.Failures = append(result.Failures, fmt.Sprintf("%s ran %d times", key, runs))
		}
	}
	return result
}

// runsByKey returns the runs by idempotency key over all backend servers.
func (d *Demo) runsByKey() map[string]int {
	total := make(map[string]int)
	for _, server := range d.estate.Services {
		for key, runs := range server.Runs() {
			total[key] += runs
		}
	}
	return total
}
