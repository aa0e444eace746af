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
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
	"github.com/wisteriahaven/wisteriahaven/internal/pause"
)

// Paths of the HTTP interface between instances.
const (
	configurationPath = "/v1/configuration"
	serversPath       = "/v1/servers"
	// namingParameter asks for the names of all servers besides the changes.
	namingParameter = "names"
)

const (
	// fetchPeriod is the time between two checks for newer state that no digest triggers.
	fetchPeriod = 250 * time.Millisecond
	// fetchGatherTime is the delay after a trigger, so that changes that arrive
	// together are read in one fetch.
	fetchGatherTime = 60 * time.Millisecond
	// watchStuckTimeout is how long peers may have newer servers than a relay, while it
	// gets no change from the store, before its watch counts as stuck. A backup
	// pauses for 1.5 s between two calls, and a slow store takes 0.5 s to answer.
	watchStuckTimeout = 2200 * time.Millisecond
	// fetchTimeout bounds one call to a peer. A configuration of 1,200 routes is about 30 KB
	// compressed, and a dozen instances may request it at once over a link of 10 Mbit/s.
	fetchTimeout = 1500 * time.Millisecond
	// maxFetchedBytes bounds the answer to one call to a peer, also when it is unpacked. A list of 10,000 servers has 4 MB.
	maxFetchedBytes = 8 << 20
	// maxConcurrentFetches is the maximum number of peers that are asked for the same at a time.
	maxConcurrentFetches = 3
	// configurationHedgeDelay and serversHedgeDelay are how long a peer may take to answer before another one is
	// asked as well. Changes of servers are small.
	configurationHedgeDelay = 600 * time.Millisecond
	serversHedgeDelay       = 400 * time.Millisecond
)

// RunFetch reads newer configurations and servers from peers until the context
// ends. A relay asks a peer only when the store has not delivered the same change
// within storeHeadStart (configuration) or watchStuckTimeout (servers).
func (s *Service) RunFetch(ctx context.Context) {
	ticker := time.NewTicker(fetchPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			pause.For(ctx, fetchGatherTime)
		case <-ticker.C:
		}
		now, own := time.Now(), s.localState()
		s.mu.Lock()
		configuration, servers := s.table.FetchSources(now, own)
		configurationLag, serversLag := s.table.Lag(now, own, configuration != nil, servers != nil)
		configuration = s.table.DeferToLocalRelay(now, own, configuration, configurationLag)
		servers = s.table.DeferToLocalRelay(now, own, servers, serversLag)
		if own.Relay && configurationLag < storeHeadStart {
			configuration = nil
		}
		if own.Relay && serversLag < watchStuckTimeout {
			servers = nil
		}
		s.startConfigurationFetch(now, configuration)
		stuck := s.startServerFetch(now, servers) && own.Relay
		s.mu.Unlock()
		if stuck {
			s.options.Follower.MarkWatchStuck()
		}
	}
}

// fetchSource is the peer from which something is read, as it was when the read began. The table's own record of a peer may
// only be used while the service's lock is held.
type fetchSource struct {
	instance string
	address  netip.Addr
	relay    bool
	// listed is set when the peer states as of which revision its servers are complete.
	listed bool
}

func (p *peer) asSource() fetchSource {
	return fetchSource{instance: p.instance, address: p.address, relay: p.relay, listed: p.asOf > 0}
}

// update changes the record of the peer that is a source, unless another instance has its address now.
func (t *Table) update(source fetchSource, change func(p *peer)) {
	if p := t.peers[source.address]; p != nil && p.instance == source.instance {
		change(p)
	}
}

// fetches counts the reads of one kind from peers that run.
type fetches struct {
	running int
	// begunAt is when the last read began.
	begunAt time.Time
}

// begin counts another read if it may begin now, and reports whether it may: reads run concurrently, so that a peer that
// doesn't answer holds up no other.
func (f *fetches) begin(now time.Time, hedgeDelay time.Duration) bool {
	if f.running > 0 && (f.running >= maxConcurrentFetches || now.Sub(f.begunAt) < hedgeDelay) {
		return false
	}
	f.running++
	f.begunAt = now
	return true
}

// startConfigurationFetch begins to read the configuration from a peer; nil for none. A failed read is retried in a
// later round; mu is held.
func (s *Service) startConfigurationFetch(now time.Time, source *peer) {
	if source == nil || !s.configurationFetches.begin(now, configurationHedgeDelay) {
		return
	}
	source.configurationAsked = true
	go s.runConfigurationFetch(source.asSource())
}

// startServerFetch begins to read the servers from a peer; nil for none. It reports whether it did; mu is held.
func (s *Service) startServerFetch(now time.Time, source *peer) bool {
	if source == nil || !s.serverFetches.begin(now, serversHedgeDelay) {
		return false
	}
	source.serversAsked = true
	if !source.relay {
		s.table.RecordNonRelayFetch(now)
	}
	go s.runServerFetch(source.asSource())
	return true
}

func (s *Service) runConfigurationFetch(source fetchSource) {
	s.fetch(source, func() error { return s.fetchConfiguration(source.address) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configurationFetches.running--
	s.table.update(source, func(p *peer) { p.configurationAsked = false })
}

func (s *Service) runServerFetch(source fetchSource) {
	s.fetch(source, func() error { return s.fetchServers(source) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serverFetches.running--
	s.table.update(source, func(p *peer) { p.serversAsked = false })
}

// fetch reads from a peer and records how it ended.
func (s *Service) fetch(source fetchSource, read func() error) {
	var err error = errReadPanicked
	s.options.Guard.Run("read", func() { err = read() })
	s.recordFetch(source, err)
}

// errReadPanicked is the result of a read that an unexpected error ended.
var errReadPanicked = fault.New(fault.Internal, "an unexpected error ended the read")

// recordFetch logs a failed fetch and records its time, so that other peers are preferred for a
// while.
func (s *Service) recordFetch(source fetchSource, err error) {
	if err != nil {
		s.mu.Lock()
		s.table.update(source, func(p *peer) { p.fetchFailedAt = time.Now() })
		s.mu.Unlock()
		event.Log(s.options.Logger, event.PeerFetchFailed).Str("peer", source.instance).Stringer("address", source.address).Err(err).Send()
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
			Int("routes", configuration.Table.Routes()).Bool("keys_required", s.options.State.KeysRequired()).Stringer("source", address).Send()
	}
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
		body, err := response.BodyUncompressedWithLimit(maxFetchedBytes)
		if err != nil {
			return nil, fault.Wrap(fault.PeerMessage, "peers", "unpack", err)
		}
		return append([]byte(nil), body...), nil
	case fasthttp.StatusNoContent:
		return nil, nil
	default:
		return nil, fault.New(fault.PeerUnreachable, "peer answered with status "+strconv.Itoa(response.StatusCode()))
	}
}

// Handler returns the HTTP handler for requests of peers. Responses are compressed,
// because large configurations cross slow links.
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
		body, err := json.Marshal(s.exportServers(revision.Revision(after), ctx.QueryArgs().Has(namingParameter)))
		if err != nil {
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
			return
		}
		ctx.SetBody(body)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}
