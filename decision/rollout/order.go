package rollout

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Order is the operators' order to move a service to a version.
type Order struct {
	Service string
	// To is the software version that the service moves to.
	To       string
	Duration time.Duration
	// Created tells apart orders of equal content; its unit is the store's.
	Created uint64
}

// ID identifies the order at all instances.
func (o *Order) ID() uint64 {
	return xxhash.Sum64String(o.Service + "\x00" + o.To + "\x00" + o.Duration.String() + "\x00" + strconv.FormatUint(o.Created, 10))
}

// maxNameBytes bounds the names of a service and a version, so that they fit into digests.
const maxNameBytes = 128

// Validate returns the first problem of an order, with the code RolloutInvalid.
func (o *Order) Validate() error {
	switch {
	case o.Service == "" || len(o.Service) > maxNameBytes:
		return invalid("service", "empty or too long")
	case o.To == "" || len(o.To) > maxNameBytes:
		return invalid("version", "empty or too long")
	case o.Duration < MinDuration || o.Duration > MaxDuration:
		return invalid("duration", o.Duration.String()+" is not between "+MinDuration.String()+" and "+MaxDuration.String())
	}
	return nil
}

func invalid(field, reason string) error {
	return fault.New(fault.RolloutInvalid, field+": "+reason)
}
