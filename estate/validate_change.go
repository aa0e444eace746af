package estate

import "github.com/wisteriahaven/wisteriahaven/document"

// ValidateChange checks what may not change between two configurations. The
// claims of a client account's calls live in its home region, so an account
// that stays keeps that region: a key claimed there must not run again because
// another region does not know it.
func ValidateChange(base, next *Configuration) document.Problems {
	var problems document.Problems
	before := homeRegions(base)
	after := homeRegions(next)
	for i, account := range next.ClientAccounts {
		region, known := before[account.Name]
		if known && region != after[account.Name] {
			problems.Add(at("client_accounts", i)+".firm",
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
