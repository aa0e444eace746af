package estate

// The kinds of Drain.
const (
	DrainBackendServer = "backend-server"
	DrainInstance      = "instance"
	DrainDataCentre    = "data-centre"
)

// Drain states that a backend server, an instance or a data centre takes no new
// work.
type Drain struct {
	// Kind is DrainBackendServer, DrainInstance or DrainDataCentre.
	Kind string `json:"kind"`
	Name string `json:"name"`
}
