package loopback

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/tailscale/hujson"
)

// Keys holds the plaintext keys of an example estate.
type Keys struct {
	// ClientAccounts maps client accounts to bearer keys.
	ClientAccounts map[string]string `json:"client_accounts"`
	// Operators maps operators to tokens.
	Operators map[string]string `json:"operators"`
}

func loadKeys(directory string) (Keys, error) {
	var keys Keys
	data, err := os.ReadFile(filepath.Join(directory, "keys.json"))
	if err != nil {
		return keys, err
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return keys, err
	}
	return keys, json.Unmarshal(standard, &keys)
}
