package estate

// Configuration is one revision of everything that operators declare.
type Configuration struct {
	// Revision is the platform's version of the configuration head.
	Revision       uint64          `json:"revision,omitempty"`
	Regions        []Region        `json:"regions"`
	DataCentres    []DataCentre    `json:"data_centres"`
	Firms          []Firm          `json:"firms"`
	ClientAccounts []ClientAccount `json:"client_accounts"`
	Models         []Model         `json:"models"`
	Services       []Service       `json:"services"`
	Rules          []Rule          `json:"rules"`
	BackendServers []BackendServer `json:"backend_servers"`
	Drains         []Drain         `json:"drains,omitempty"`
	Shifts         []Shift         `json:"shifts,omitempty"`
}
