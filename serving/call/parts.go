package call

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/decision/call"
	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/objectstore"
	"github.com/wisteriahaven/wisteriahaven/serving"
	"github.com/wisteriahaven/wisteriahaven/transport/service"
)

// Instances lists the live entry instances.
type Instances interface {
	// InRegion returns the names of the live instances of a region.
	InRegion(region string) []string
}

// ClaimForwarder forwards claim operations to the owner of their shard.
type ClaimForwarder interface {
	// Forward returns the owner's answer. An error means that the owner could
	// not be reached or did not answer; the operation may have taken effect.
	Forward(ctx context.Context, instance string, shard claim.Shard, operation claim.Operation) (claim.Answer, error)
}

// Parts are the dependencies and settings of a Runner.
type Parts struct {
	// Instance is the name of this instance.
	Instance      string
	Configuration serving.ConfigurationSource
	Router        serving.Router
	Admitter      serving.Admitter
	Recorder      serving.Recorder
	Guard         serving.Guard
	Services      *service.Client
	Store         objectstore.Store
	// Instances and Forwarder may be nil: every claim is then committed by
	// this instance.
	Instances Instances
	Forwarder ClaimForwarder
	Logger    zerolog.Logger
	Call      call.Settings
	Claim     claim.Settings
}
