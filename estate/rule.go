package estate

// Any in a rule's list matches every name.
const Any = "*"

// Rule allows the client accounts it matches to be served where it says. A
// choice that no rule allows is refused. An empty list matches everything.
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
