package settings

import "time"

// Gateway are the settings of an instance that forwards requests by a table of
// routes. Times are numbers with their unit in the name, because they come from
// a template that has numbers.
type Gateway struct {
	// Clients, Readiness, Metrics and Peers are addresses of listeners, each
	// "ip:port". Peers takes both TCP and UDP.
	Clients   string `json:"clients"`
	Readiness string `json:"readiness"`
	Metrics   string `json:"metrics"`
	Peers     string `json:"peers"`
	// Store is the address of the object store.
	Store string `json:"store"`
	// Seeds are addresses of other instances whose port may differ from that
	// of Peers, which is the same on all instances.
	Seeds []string `json:"seeds,omitempty"`
	// DataCentres are the places of instances and backend servers.
	DataCentres []DataCentre `json:"data_centres"`
	// StopSeconds is the time from a stop signal to the end of the process.
	StopSeconds float64 `json:"stop_seconds,omitempty"`
	// AddressReuseSeconds is the time after the end of a backend server in which
	// its address belongs to nobody else; 0 when that is not known.
	AddressReuseSeconds float64 `json:"address_reuse_seconds,omitempty"`
	// SecondSends bounds the sends to second backend servers over all
	// instances.
	SecondSends SecondSends `json:"second_sends,omitzero"`
	// Descriptors and MemoryMB are what the process may use.
	Descriptors int     `json:"descriptors,omitempty"`
	MemoryMB    float64 `json:"memory_mb,omitempty"`
}

// SecondSends bounds the sends to second backend servers in each window: a
// number for each request and an allowance.
type SecondSends struct {
	Ratio         float64 `json:"ratio,omitempty"`
	Extra         float64 `json:"extra,omitempty"`
	WindowSeconds float64 `json:"window_seconds,omitempty"`
}

// DataCentre is a data centre with its region.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Defaults of a gateway.
const (
	// DefaultStop is the usual time that service managers leave a process.
	DefaultStopTime = 10 * time.Second
	// DefaultSecondSendRatio and its window allow one second send for five
	// requests.
	DefaultSecondSendRatio  = 0.2
	DefaultSecondSendWindow = 10 * time.Second
	// DefaultDescriptors is the usual limit of a process.
	DefaultDescriptors = 1024
	// DefaultMemoryMB is the memory that an entry instance may use for
	// control and buffers.
	DefaultMemoryMB = 128
)

// Stop returns the time from a stop signal to the end of the process.
func (g *Gateway) StopTime() time.Duration {
	if g.StopSeconds <= 0 {
		return DefaultStopTime
	}
	return seconds(g.StopSeconds)
}

// AddressReuse returns the time after the end of a backend server in which its
// address belongs to nobody else.
func (g *Gateway) AddressReuse() time.Duration { return seconds(g.AddressReuseSeconds) }

// Window returns the span over which second sends are counted.
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

// withDefaults fills in the unset fields.
func (g Gateway) withDefaults() *Gateway {
	if g.SecondSends.WindowSeconds <= 0 {
		g.SecondSends = SecondSends{Ratio: DefaultSecondSendRatio, Extra: g.SecondSends.Extra, WindowSeconds: DefaultSecondSendWindow.Seconds()}
	}
	if g.Descriptors == 0 {
		g.Descriptors = DefaultDescriptors
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
	v.address("gateway.store", g.Store)
	for i, seed := range g.Seeds {
		v.address(at("gateway.seeds", i), seed)
	}
	for i, centre := range g.DataCentres {
		v.required(at("gateway.data_centres", i)+".name", centre.Name)
		v.required(at("gateway.data_centres", i)+".region", centre.Region)
	}
	v.notNegative("gateway.descriptors", g.Descriptors)
	if g.StopSeconds < 0 || g.AddressReuseSeconds < 0 || g.SecondSends.Ratio < 0 || g.SecondSends.Extra < 0 || g.SecondSends.WindowSeconds < 0 || g.MemoryMB < 0 {
		v.problems.Add("gateway", "stop_seconds, address_reuse_seconds, second_sends and memory_mb must not be negative")
	}
}
