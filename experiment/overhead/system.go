package overhead

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/configstore"
	"github.com/wisteriahaven/wisteriahaven/entry"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/objectstore/httpstore"
	"github.com/wisteriahaven/wisteriahaven/settings"
	"github.com/wisteriahaven/wisteriahaven/standin/objectapi"
)

// Parameters of the estate with one entry instance.
const (
	bearer       = "overhead"
	slots        = 4096
	readyTimeout = 20 * time.Second
	readyPoll    = 5 * time.Millisecond
)

// system is one entry instance with one engine and a platform stand-in.
type system struct {
	engine   *engine
	platform *objectapi.Server
	entry    *entry.Entry
}

func startSystem(ctx context.Context) (*system, error) {
	s := &system{}
	err := s.start(ctx)
	if err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

func (s *system) start(ctx context.Context) error {
	var err error
	if s.engine, err = startEngine(); err != nil {
		return err
	}
	if s.platform, err = objectapi.Start(objectapi.Settings{}); err != nil {
		return err
	}
	store := httpstore.New(s.platform.URL())
	if _, err = configstore.Commit(ctx, store, &estate.Configuration{}, configuration(s.engine.address()), "initial"); err != nil {
		return err
	}
	s.entry = entry.New(instanceSettings(s.platform.URL()), zerolog.Nop())
	if err = s.entry.Start(); err != nil {
		return err
	}
	deadline := time.Now().Add(readyTimeout)
	for !s.entry.Ready() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fault.New(fault.ConfigurationUnset, "the entry instance did not become ready")
		}
		time.Sleep(readyPoll)
	}
	return nil
}

func (s *system) stop() {
	if s.entry != nil {
		s.entry.Abort()
	}
	if s.platform != nil {
		s.platform.Stop()
	}
	if s.engine != nil {
		s.engine.stop()
	}
}

func configuration(address string) *estate.Configuration {
	sum := sha256.Sum256([]byte(bearer))
	return &estate.Configuration{
		Regions:     []estate.Region{{Name: "region"}},
		DataCentres: []estate.DataCentre{{Name: "data-centre", Region: "region"}},
		Firms:       []estate.Firm{{Name: "firm", HomeRegion: "region"}},
		ClientAccounts: []estate.ClientAccount{
			{Name: "account", Firm: "firm", KeyHashes: []string{hex.EncodeToString(sum[:])}, Weight: 1},
		},
		Models: []estate.Model{{Name: modelName, Versions: []string{modelVersion}, DefaultVersion: modelVersion}},
		Services: []estate.Service{{
			Name: "service", Kind: estate.ServiceGeneration, Models: []string{modelName},
			Recovery: estate.Recovery{Objective: estate.ObjectiveLatency},
			Deadline: estate.Duration(generationDeadline),
		}},
		Rules: []estate.Rule{{Name: "all"}},
		BackendServers: []estate.BackendServer{{
			Name: engineName, Address: address, DataCentre: "data-centre",
			Service: "service", Model: modelName, Version: modelVersion, Slots: slots,
		}},
	}
}

func instanceSettings(platform string) settings.Settings {
	ring := settings.KeyRing{Active: "a", Keys: []settings.Key{{ID: "a", Secret: strings.Repeat("5a", sha256.Size)}}}
	loopbackAddress := "127.0.0.1:0"
	return settings.Settings{
		Instance: "instance", DataCentre: "data-centre", Region: "region",
		Listen:   settings.Listen{Callers: loopbackAddress, Operators: loopbackAddress, Gossip: loopbackAddress, Peers: loopbackAddress},
		Platform: settings.Platform{ObjectAPI: platform},
		Keys:     settings.Keys{Cursor: ring, Peer: ring},
	}.WithDefaults()
}
