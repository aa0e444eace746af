package estate

// Firm is one of the companies that share the estate.
type Firm struct {
	Name string `json:"name"`
	// HomeRegion is the region that stores the claims of the firm's calls.
	HomeRegion string `json:"home_region"`
	// MaxClientAccounts bounds the accounts of the firm; zero means no bound.
	MaxClientAccounts int `json:"max_client_accounts,omitempty"`
}
