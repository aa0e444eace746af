package peer

import (
	"context"

	"storj.io/drpc/drpcerr"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/transport/peer/peerpb"
)

// Error codes on the wire.
const (
	codeOther uint64 = iota + 1
	codeNotFound
	codeConfigurationUnset
)

// Handlers holds the functions that serve the calls of other instances. A call
// whose handler is nil fails with NotFound.
type Handlers struct {
	Configuration func(ctx context.Context, request *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error)
	// Members returns the membership table, encoded by gossip.EncodeRecords.
	Members func(ctx context.Context) ([]byte, error)
	// CommitClaims commits a batch of claims for a shard. The transport does not
	// interpret the payloads.
	CommitClaims func(ctx context.Context, shard uint32, payload []byte) ([]byte, error)
	// Limits receives another instance's reports on limits.
	Limits func(request *peerpb.LimitsRequest)
	// Suspicions receives a peer's digest of suspected poison requests and returns
	// this instance's digest.
	Suspicions func(ctx context.Context, digest []byte) ([]byte, error)
	// Dump returns this instance's state as JSON.
	Dump func(ctx context.Context) ([]byte, error)
	// Explain returns this instance's decisions about a subject as JSON.
	Explain func(ctx context.Context, subject string) ([]byte, error)
}

// service implements the generated server interface.
type service struct {
	handlers Handlers
}

// Configuration implements peerpb.DRPCPeerServer.
func (s service) Configuration(ctx context.Context, request *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
	if s.handlers.Configuration == nil {
		return nil, unhandledCall()
	}
	reply, err := s.handlers.Configuration(ctx, request)
	return reply, encodeError(err)
}

// Members implements peerpb.DRPCPeerServer.
func (s service) Members(ctx context.Context, _ *peerpb.MembersRequest) (*peerpb.MembersReply, error) {
	if s.handlers.Members == nil {
		return nil, unhandledCall()
	}
	records, err := s.handlers.Members(ctx)
	return &peerpb.MembersReply{Records: records}, encodeError(err)
}

// CommitClaims implements peerpb.DRPCPeerServer.
func (s service) CommitClaims(ctx context.Context, request *peerpb.ClaimsRequest) (*peerpb.ClaimsReply, error) {
	if s.handlers.CommitClaims == nil {
		return nil, unhandledCall()
	}
	payload, err := s.handlers.CommitClaims(ctx, request.GetShard(), request.GetPayload())
	return &peerpb.ClaimsReply{Payload: payload}, encodeError(err)
}

// Limits implements peerpb.DRPCPeerServer.
func (s service) Limits(_ context.Context, request *peerpb.LimitsRequest) (*peerpb.LimitsReply, error) {
	if s.handlers.Limits == nil {
		return nil, unhandledCall()
	}
	s.handlers.Limits(request)
	return &peerpb.LimitsReply{}, nil
}

// Suspicions implements peerpb.DRPCPeerServer.
func (s service) Suspicions(ctx context.Context, request *peerpb.SuspicionsMessage) (*peerpb.SuspicionsMessage, error) {
	if s.handlers.Suspicions == nil {
		return nil, unhandledCall()
	}
	digest, err := s.handlers.Suspicions(ctx, request.GetJson())
	return &peerpb.SuspicionsMessage{Json: digest}, encodeError(err)
}

// Dump implements peerpb.DRPCPeerServer.
func (s service) Dump(ctx context.Context, _ *peerpb.DumpRequest) (*peerpb.DumpReply, error) {
	if s.handlers.Dump == nil {
		return nil, unhandledCall()
	}
	state, err := s.handlers.Dump(ctx)
	return &peerpb.DumpReply{Json: state}, encodeError(err)
}

// Explain implements peerpb.DRPCPeerServer.
func (s service) Explain(ctx context.Context, request *peerpb.ExplainRequest) (*peerpb.ExplainReply, error) {
	if s.handlers.Explain == nil {
		return nil, unhandledCall()
	}
	decisions, err := s.handlers.Explain(ctx, request.GetSubject())
	return &peerpb.ExplainReply{Json: decisions}, encodeError(err)
}

func unhandledCall() error {
	return encodeError(fault.New(fault.NotFound, "the peer does not serve this call"))
}

// encodeError attaches the wire code to an error.
func encodeError(err error) error {
	switch {
	case err == nil:
		return nil
	case fault.HasCode(err, fault.NotFound):
		return drpcerr.WithCode(err, codeNotFound)
	case fault.HasCode(err, fault.ConfigurationUnset):
		return drpcerr.WithCode(err, codeConfigurationUnset)
	default:
		return drpcerr.WithCode(err, codeOther)
	}
}

// decodeError converts the error of a call to a typed error by its wire code. An
// error without a code means that the peer did not reply.
func decodeError(err error) error {
	if err == nil {
		return nil
	}
	switch drpcerr.Code(err) {
	case codeNotFound:
		return fault.Wrap(fault.NotFound, "peer", "the peer answered", err)
	case codeConfigurationUnset:
		return fault.Wrap(fault.ConfigurationUnset, "peer", "the peer answered", err)
	case codeOther:
		return fault.Wrap(fault.PeerMessage, "peer", "the peer answered", err)
	default:
		return fault.Wrap(fault.PeerUnreachable, "peer", "call", err)
	}
}
