package peers

import (
	"context"
	"encoding/json"
	"net/netip"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/internal/pause"
)

// Paths of the interface between instances.
const (
	configurationPath = "/v1/configuration"
	serversPath       = "/v1/servers"
)

const (
	// fetchPeriod is the time between two looks whether another instance knows
	// more, when no digest says so.
	fetchPeriod = 250 * time.Millisecond
	// fetchSpacing gathers changes that come together.
	fetchSpacing = 60 * time.Millisecond
	// stuckAfter is how long others may know more than a relay, without anything
	// new from the store, before its watches are taken for stuck: a backup rests
	// for a second and a half between two calls, and a slow store takes half a
	// second.
	stuckAfter = 2200 * time.Millisecond
	// fetchTimeout bounds one call to another instance: a configuration of 1,200
	// routes is some 30 KB compressed, which a dozen instances may ask for at once
	// over a link of 10 Mbit/s.
	fetchTimeout = 1500 * time.Millisecond
)

// RunFetch reads what other instances know beyond this one, until the context
// ends. While this instance follows the store itself, the store has the first
// try.
func (s *Service) RunFetch(ctx context.Context) {
	ticker := time.NewTicker(fetchPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			pause.For(ctx, fetchSpacing)
		case <-ticker.C:
		}
		now, own := time.Now(), s.own()
		s.mu.Lock()
		configuration, servers := s.table.FetchSources(now, own)
		oldConfiguration, oldServers := s.table.Lag(now, own, configuration != nil, servers != nil)
		configuration = s.table.DeferToLocalRelay(now, own, configuration, oldConfiguration)
		servers = s.table.DeferToLocalRelay(now, own, servers, oldServers)
		if own.Relay && oldConfiguration < storeHead {
			configuration = nil
		}
		if own.Relay && oldServers < stuckAfter {
			servers = nil
		}
		if servers != nil && !servers.relay {
			s.table.RecordNonRelayFetch(now)
		}
		s.mu.Unlock()
		if own.Relay && servers != nil {
			s.options.Follower.MarkWatchStuck()
		}
		s.fetch(configuration, servers)
	}
}

// fetch asks other instances; what fails is tried again in the next round.
func (s *Service) fetch(configuration, servers *member) {
	if configuration != nil {
		s.note(configuration, s.fetchConfiguration(configuration.address))
	}
	if servers != nil {
		s.note(servers, s.fetchServers(servers))
	}
}

func (s *Service) note(asked *member, err error) {
	if err != nil {
		s.mu.Lock()
		asked.failed = time.Now()
		s.mu.Unlock()
		event.Log(s.options.Logger, event.PeerFetchFailed).Str("peer", asked.instance).Stringer("address", asked.address).Err(err).Send()
	}
}

func (s *Service) fetchConfiguration(address netip.Addr) error {
	document, err := s.get(address, configurationPath+"?after="+strconv.FormatUint(s.options.State.Version(), 10))
	if err != nil || len(document) == 0 {
		return err
	}
	configuration, err := s.options.Decode(document)
	if err != nil {
		return err
	}
	if s.options.State.Offer(configuration) {
		event.Log(s.options.Logger, event.ConfigurationInForce).Uint64("version", configuration.Table.Version).
			Int("routes", configuration.Table.Routes()).Stringer("source", address).Send()
	}
	return nil
}

func (s *Service) fetchServers(asked *member) error {
	body, err := s.get(asked.address, serversPath+"?after="+strconv.FormatUint(s.options.Directory.Revision(), 10))
	if err != nil {
		return err
	}
	var export directory.Export
	if err := json.Unmarshal(body, &export); err != nil {
		return fault.Wrap(fault.PeerMessage, "peers", "decode servers", err)
	}
	changed := s.options.Directory.Import(export)
	s.mu.Lock()
	asked.fetched = export.Fingerprint
	s.mu.Unlock()
	event.Log(s.options.Logger, event.PeerServersReceived).Str("peer", asked.instance).Int("changed", changed).
		Int("servers", len(s.options.Directory.Snapshot().All)).Uint64("revision", export.Revision).Send()
	return nil
}

func (s *Service) get(address netip.Addr, target string) ([]byte, error) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + netip.AddrPortFrom(address, s.options.Address.Port()).String() + target)
	request.SetConnectionClose()
	request.Header.Set(fasthttp.HeaderAcceptEncoding, "gzip")
	if err := s.client.Do(request, response); err != nil {
		return nil, fault.Wrap(fault.PeerUnreachable, "peers", "no answer", err)
	}
	switch response.StatusCode() {
	case fasthttp.StatusOK:
		body, err := response.BodyUncompressed()
		if err != nil {
			return nil, fault.Wrap(fault.PeerMessage, "peers", "unpack", err)
		}
		return append([]byte(nil), body...), nil
	case fasthttp.StatusNoContent:
		return nil, nil
	default:
		return nil, fault.New(fault.PeerUnreachable, "status "+strconv.Itoa(response.StatusCode()))
	}
}

// Handler answers other instances over HTTP, compressed: documents of many routes
// cross slow links.
func (s *Service) Handler() fasthttp.RequestHandler {
	return fasthttp.CompressHandlerLevel(s.handle, fasthttp.CompressBestSpeed)
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	switch string(ctx.Path()) {
	case configurationPath:
		current := s.options.State.Current()
		if current == nil || current.Table.Version <= after {
			ctx.SetStatusCode(fasthttp.StatusNoContent)
			return
		}
		ctx.SetBody(current.Document)
	case serversPath:
		body, err := json.Marshal(s.options.Directory.Export(after))
		if err != nil {
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
			return
		}
		ctx.SetBody(body)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}
