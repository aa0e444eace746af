package claims

import (
	"context"

	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Transport sends calls to another instance.
type Transport interface {
	// CommitClaims sends an encoded operation to the owner of a shard and returns the encoded
	// answer. After an error the operation may have taken effect.
	CommitClaims(ctx context.Context, address string, shard uint32, payload []byte) ([]byte, error)
}

// Forwarder sends claim operations to other instances.
type Forwarder struct {
	transport Transport
	address   func(instance string) (string, bool)
}

// NewForwarder returns a forwarder. address returns the peer address of an instance, or false
// when it is unknown.
func NewForwarder(transport Transport, address func(instance string) (string, bool)) *Forwarder {
	return &Forwarder{transport: transport, address: address}
}

// Forward sends an operation to the instance that owns its shard and returns the answer. An
// error means that the owner could not be reached or did not answer; the operation may have
// taken effect.
func (f *Forwarder) Forward(ctx context.Context, instance string, shard claim.Shard, operation claim.Operation) (claim.Answer, error) {
	address, known := f.address(instance)
	if !known {
		return claim.Answer{}, fault.New(fault.PeerUnreachable, "the address of instance "+instance+" is unknown")
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
