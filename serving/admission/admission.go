// Package admission authenticates callers and admits their requests.
package admission

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Controller implements serving.Authenticator and serving.Admitter.
type Controller struct {
	configuration serving.ConfigurationSource
}

// New returns a controller over the configuration in force.
func New(configuration serving.ConfigurationSource) *Controller {
	return &Controller{configuration: configuration}
}

// Authenticate implements serving.Authenticator.
func (c *Controller) Authenticate(bearer string) (estate.ClientAccount, error) {
	configuration := c.configuration.Current()
	if configuration == nil {
		return estate.ClientAccount{}, fault.New(fault.ConfigurationUnset, "no configuration is in force").WithExecution(fault.ExecutionNotRun)
	}
	sum := sha256.Sum256([]byte(bearer))
	hash := hex.EncodeToString(sum[:])
	for _, account := range configuration.ClientAccounts {
		if slices.Contains(account.KeyHashes, hash) {
			return account, nil
		}
	}
	return estate.ClientAccount{}, fault.New(fault.Unauthenticated, "the bearer key is unknown").WithExecution(fault.ExecutionNotRun)
}

// Admit implements serving.Admitter.
func (c *Controller) Admit(context.Context, serving.AdmissionRequest) (serving.Ticket, error) {
	return ticket{}, nil
}

type ticket struct{}

// Tokens implements serving.Ticket.
func (ticket) Tokens(int) {}

// Release implements serving.Ticket.
func (ticket) Release() {}
