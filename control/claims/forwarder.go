package claims

import (
	"context"

	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Transport calls another instance.
type Transport interface {
	// CommitClaims sends a payload to the home of a shard. After an error the
	// payload may have been handled.
	CommitClaims(ctx context.Context, address string, shard uint32, payload []byte) ([]byte, error)
}

// Forwarder takes claim operations to other instances.
type Forwarder struct {
	transport Transport
	address   func(instance string) (string, bool)
}

// NewForwarder returns a forwarder. address gives the peer address of an
// instance, false when it is not known.
func NewForwarder(transport Transport, address func(instance string) (string, bool)) *Forwarder {
	return &Forwarder{transport: transport, address: address}
}

// Forward returns the home's answer. An error means that the home could not be
// reached or did not answer; the operation may have taken effect.
func (f *Forwarder) Forward(ctx context.Context, instance string, shard claim.Shard, operation claim.Operation) (claim.Answer, error) {
	address, known := f.address(instance)
	if !known {
		return claim.Answer{}, fault.New(fault.PeerUnreachable, "no address of instance "+instance+" is known")
	}
	payload, err := encodeOperation(shard, operation)
	if err != nil {
		return claim.Answer{}, err
	}
	answer, err := f.transport.CommitClaims(ctx, address, uint32(shard.Index), payload)
	if err != nil {
		return claim.Answer{}, err
	}
	return decodeAnswer(operation.ID, answer)
}
