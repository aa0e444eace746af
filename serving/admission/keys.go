package admission

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/wisteriahaven/wisteriahaven/estate"
)

// keys finds the account of a key's hash in one configuration.
type keys struct {
	configuration *estate.Configuration
	accounts      map[string]int
}

func newKeys(configuration *estate.Configuration) *keys {
	k := &keys{configuration: configuration, accounts: make(map[string]int)}
	for i, account := range configuration.ClientAccounts {
		for _, hash := range account.KeyHashes {
			k.accounts[hash] = i
		}
	}
	return k
}

// find returns the account of a bearer key. The lookup by hash takes the same
// time for every key that is wrong, as far as the key's own content matters.
func (k *keys) find(bearer string) (estate.ClientAccount, bool) {
	sum := sha256.Sum256([]byte(bearer))
	index, ok := k.accounts[hex.EncodeToString(sum[:])]
	if !ok {
		return estate.ClientAccount{}, false
	}
	return k.configuration.ClientAccounts[index], true
}
