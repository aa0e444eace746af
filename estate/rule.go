package estate

// Any matches every name in a rule's list.
const Any = "*"

// Rule allows requests of the client accounts that it matches to be served by the
// services, models and places that it matches. A request that no rule allows is
// refused. An empty list matches everything.
type Rule struct {
	Name           string   `json:"name"`
	Firms          []string `json:"firms,omitempty"`
	ClientAccounts []string `json:"client_accounts,omitempty"`
	Services       []string `json:"services,omitempty"`
	Models         []string `json:"models,omitempty"`
	Versions       []string `json:"versions,omitempty"`
	Regions        []string `json:"regions,omitempty"`
	DataCentres    []string `json:"data_centres,omitempty"`
}
