package estate

// BackendServer is one model engine or one server of a plain service.
type BackendServer struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Service is the service the server belongs to.
	Service string `json:"service"`
	// Model and Version name what a model engine has loaded.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	// Spare marks a model engine without a declared model: it replaces failed
	// engines and serves the model that it reports.
	Spare bool `json:"spare,omitempty"`
	// Slots is how many requests the server runs at a time.
	Slots int `json:"slots"`
	// ChecksFencing means that the server refuses orders with an outdated fencing
	// token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}
