package settings

import (
	"net/netip"
	"time"
)

// Gateway holds the settings of an instance that forwards requests by a table of routes. Times are
// numbers with their unit in the name, because the template that generates them has only numbers.
type Gateway struct {
	// Clients, Readiness, Metrics and Peers are the addresses of the listeners, each
	// "ip:port". Peers is used for both TCP and UDP.
	Clients   string `json:"clients"`
	Readiness string `json:"readiness"`
	Metrics   string `json:"metrics"`
	Peers     string `json:"peers"`
	// Relay is the address at which peers that reach no backend server hand requests over, "ip:port"; its port
	// is the same on all instances. When it is empty, the instance neither hands requests over nor accepts any.
	Relay string `json:"relay,omitempty"`
	// RelayedRequests is the maximum number of requests of peers that are served at the same time; 0 for the
	// default, an eighth of the descriptors.
	RelayedRequests int `json:"relayed_requests,omitempty"`
	// Store is the address of the object store, "ip:port".
	Store string `json:"store"`
	// Seeds are addresses of other instances, each "ip:port". Their ports may differ
	// from that of Peers, which is the same on all instances.
	Seeds []string `json:"seeds,omitempty"`
	// DataCentres lists the data centres of instances and backend servers.
	DataCentres []DataCentre `json:"data_centres"`
	// StopSeconds is the time from a stop signal to the end of the process; 0 for the default.
	StopSeconds float64 `json:"stop_seconds,omitempty"`
	// AddressReuseSeconds is the time after the end of a backend server in which its
	// address isn't assigned to another one; 0 when unknown.
	AddressReuseSeconds float64 `json:"address_reuse_seconds,omitempty"`
	// SecondSends bounds the second sends of all instances together.
	SecondSends SecondSends `json:"second_sends,omitzero"`
	// Rollouts bounds what a new software version gets while a service is moved to it on order; without it, orders
	// are not followed.
	Rollouts Rollouts `json:"rollouts,omitzero"`
	// QuarantineSeconds is the time for which a request that crashes backend servers is rejected; 0 for the default of
	// 15 minutes.
	QuarantineSeconds float64 `json:"quarantine_seconds,omitempty"`
	// Descriptors and MemoryMB are the file descriptors and the memory that the
	// process may use; 0 for the defaults.
	Descriptors int     `json:"descriptors,omitempty"`
	MemoryMB    float64 `json:"memory_mb,omitempty"`
}

// SecondSends bounds the second sends, which send a request to another backend server
// again, in each window: to Ratio for each request plus Extra.
type SecondSends struct {
	Ratio         float64 `json:"ratio,omitempty"`
	Extra         float64 `json:"extra,omitempty"`
	WindowSeconds float64 `json:"window_seconds,omitempty"`
}

// Rollouts bounds what a new version gets between an order and its deadline: Share of all requests of the service, and
// Extra more; and the time after its 50th bad answer from which it gets none.
type Rollouts struct {
	Share            float64 `json:"share,omitempty"`
	Extra            int     `json:"extra,omitempty"`
	StopMilliseconds float64 `json:"stop_milliseconds,omitempty"`
}

// StopTime returns the time after the 50th bad answer of a version from which it gets no request.
func (r Rollouts) StopTime() time.Duration {
	return time.Duration(r.StopMilliseconds * float64(time.Millisecond))
}

// DataCentre is a data centre with its region.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Defaults of the gateway settings.
const (
	// DefaultStopTime is the time that service managers usually give a process to stop.
	DefaultStopTime = 10 * time.Second
	// DefaultSecondSendRatio and its window allow one second send for every five requests.
	DefaultSecondSendRatio  = 0.2
	DefaultSecondSendWindow = 10 * time.Second
	// DefaultDescriptors is the usual limit of open files of a process.
	DefaultDescriptors = 1024
	// DefaultMemoryMB is the memory that an entry instance may use for control and buffers.
	DefaultMemoryMB = 128
)

// StopTime returns the time from a stop signal to the end of the process.
func (g *Gateway) StopTime() time.Duration {
	if g.StopSeconds <= 0 {
		return DefaultStopTime
	}
	return seconds(g.StopSeconds)
}

// AddressReuse returns the time after the end of a backend server in which its
// address isn't assigned to another one; 0 when unknown.
func (g *Gateway) AddressReuse() time.Duration { return seconds(g.AddressReuseSeconds) }

// QuarantineTime returns the time for which a request that crashes backend servers is rejected; 0 for the
// default.
func (g *Gateway) QuarantineTime() time.Duration { return seconds(g.QuarantineSeconds) }

// RelayPort returns the port of the relay address, 0 if there is none. The address was validated with the settings.
func (g *Gateway) RelayPort() uint16 {
	if g.Relay == "" {
		return 0
	}
	return netip.MustParseAddrPort(g.Relay).Port()
}

// Window returns the length of the window in which second sends are counted.
func (s SecondSends) Window() time.Duration { return seconds(s.WindowSeconds) }

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// Regions returns the region of each data centre.
func (g *Gateway) Regions() map[string]string {
	regions := make(map[string]string, len(g.DataCentres))
	for _, centre := range g.DataCentres {
		regions[centre.Name] = centre.Region
	}
	return regions
}

// withDefaults returns a copy with the default in every unset field.
func (g Gateway) withDefaults() *Gateway {
	if g.SecondSends.WindowSeconds <= 0 {
		g.SecondSends = SecondSends{Ratio: DefaultSecondSendRatio, Extra: g.SecondSends.Extra, WindowSeconds: DefaultSecondSendWindow.Seconds()}
	}
	if g.Descriptors == 0 {
		g.Descriptors = DefaultDescriptors
	}
	if g.RelayedRequests == 0 {
		g.RelayedRequests = max(1, g.Descriptors/8)
	}
	if g.MemoryMB == 0 {
		g.MemoryMB = DefaultMemoryMB
	}
	return &g
}

func (v *validator) gateway(g *Gateway) {
	v.address("gateway.clients", g.Clients)
	v.address("gateway.readiness", g.Readiness)
	v.address("gateway.metrics", g.Metrics)
	v.address("gateway.peers", g.Peers)
	if g.Relay != "" {
		v.address("gateway.relay", g.Relay)
	}
	v.notNegative("gateway.relayed_requests", g.RelayedRequests)
	v.address("gateway.store", g.Store)
	for i, seed := range g.Seeds {
		v.address(elementPath("gateway.seeds", i), seed)
	}
	for i, centre := range g.DataCentres {
		v.required(elementPath("gateway.data_centres", i)+".name", centre.Name)
		v.required(elementPath("gateway.data_centres", i)+".region", centre.Region)
	}
	v.notNegative("gateway.descriptors", g.Descriptors)
	if g.QuarantineSeconds < 0 {
		v.problems.Add("gateway.quarantine_seconds", "must not be negative")
	}
	if r := g.Rollouts; r != (Rollouts{}) && (r.Share <= 0 || r.Share > 1 || r.Extra < 0 || r.StopMilliseconds <= 0) {
		v.problems.Add("gateway.rollouts", "share must be above 0 and at most 1, extra not negative, stop_milliseconds above 0")
	}
	if g.StopSeconds < 0 || g.AddressReuseSeconds < 0 || g.SecondSends.Ratio < 0 || g.SecondSends.Extra < 0 || g.SecondSends.WindowSeconds < 0 || g.MemoryMB < 0 {
		v.problems.Add("gateway", "stop_seconds, address_reuse_seconds, second_sends and memory_mb must not be negative")
	}
}
