package estate

import (
	"encoding/hex"
	"strconv"
)

// keyHashBytes is the length of a SHA-256 hash in bytes.
const keyHashBytes = 32

func (v *validator) firms() {
	seen := make(nameSet)
	accounts := make(map[string]int)
	for _, account := range v.ClientAccounts {
		accounts[account.Firm]++
	}
	for i, firm := range v.Firms {
		path := elementPath("firms", i)
		v.name(path, firm.Name, seen)
		v.reference(path+".home_region", "region", firm.HomeRegion, v.names.regions[firm.HomeRegion])
		v.atLeast(path+".max_client_accounts", firm.MaxClientAccounts, 0)
		if count := accounts[firm.Name]; firm.MaxClientAccounts > 0 && count > firm.MaxClientAccounts {
			v.problems.Add(path+".max_client_accounts", "the firm has "+strconv.Itoa(count)+" client accounts and may have "+strconv.Itoa(firm.MaxClientAccounts))
		}
	}
}

func (v *validator) clientAccounts() {
	seen := make(nameSet)
	owners := make(map[string]string)
	for i, account := range v.ClientAccounts {
		path := elementPath("client_accounts", i)
		v.name(path, account.Name, seen)
		v.reference(path+".firm", "firm", account.Firm, v.names.firms[account.Firm])
		v.keyHashes(path+".key_hashes", account, owners)
		v.atLeast(path+".weight", account.Weight, 1)
		v.limits(path+".limits", account.Limits)
	}
}

func (v *validator) keyHashes(path string, account ClientAccount, owners map[string]string) {
	if len(account.KeyHashes) == 0 {
		v.problems.Add(path, "missing: at least one SHA-256 hash of a bearer key")
	}
	for i, hash := range account.KeyHashes {
		if decoded, err := hex.DecodeString(hash); err != nil || len(decoded) != keyHashBytes {
			v.problems.Add(elementPath(path, i), "must be a SHA-256 hash of 64 hexadecimal digits")
			continue
		}
		if owner, taken := owners[hash]; taken {
			v.problems.Add(elementPath(path, i), "the key belongs to client account \""+owner+"\" already")
		}
		owners[hash] = account.Name
	}
}

func (v *validator) limits(path string, limits AccountLimits) {
	v.atLeast(path+".requests_per_second", limits.RequestsPerSecond, 0)
	v.atLeast(path+".requests_in_flight", limits.RequestsInFlight, 0)
	v.atLeast(path+".tokens_per_second", limits.TokensPerSecond, 0)
	v.atLeast(path+".tokens_in_flight", limits.TokensInFlight, 0)
}
