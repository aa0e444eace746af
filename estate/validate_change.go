package estate

import "github.com/wisteriahaven/wisteriahaven/document"

// ValidateChange checks that no client account changes its home region between
// two configurations. The claims of an account's calls are stored in its home
// region: in another region, which does not have them, a key that is already
// claimed would run again.
func ValidateChange(base, next *Configuration) document.Problems {
	var problems document.Problems
	before := homeRegions(base)
	after := homeRegions(next)
	for i, account := range next.ClientAccounts {
		region, declaredBefore := before[account.Name]
		if declaredBefore && region != after[account.Name] {
			problems.Add(elementPath("client_accounts", i)+".firm",
				"the home region of \""+account.Name+"\" would change from \""+region+"\" to \""+after[account.Name]+"\"")
		}
	}
	return problems
}

// homeRegions returns the home region of each client account.
func homeRegions(configuration *Configuration) map[string]string {
	byFirm := make(map[string]string, len(configuration.Firms))
	for _, firm := range configuration.Firms {
		byFirm[firm.Name] = firm.HomeRegion
	}
	regions := make(map[string]string, len(configuration.ClientAccounts))
	for _, account := range configuration.ClientAccounts {
		regions[account.Name] = byFirm[account.Firm]
	}
	return regions
}
