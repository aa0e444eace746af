package admission

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/wisteriahaven/wisteriahaven/estate"
)

// keyIndex maps the hashes of bearer keys to the accounts of one configuration.
type keyIndex struct {
	configuration *estate.Configuration
	accounts      map[string]int
}

func newKeyIndex(configuration *estate.Configuration) *keyIndex {
	k := &keyIndex{configuration: configuration, accounts: make(map[string]int)}
	for i, account := range configuration.ClientAccounts {
		for _, hash := range account.KeyHashes {
			k.accounts[hash] = i
		}
	}
	return k
}

// find returns the account of a bearer key; no account has an empty one. The lookup is by hash, so that its
// time reveals nothing about how much of a wrong key is right.
func (k *keyIndex) find(bearer string) (estate.ClientAccount, bool) {
	if bearer == "" {
		return estate.ClientAccount{}, false
	}
	sum := sha256.Sum256([]byte(bearer))
	index, ok := k.accounts[hex.EncodeToString(sum[:])]
	if !ok {
		return estate.ClientAccount{}, false
	}
	return k.configuration.ClientAccounts[index], true
}
