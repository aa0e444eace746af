package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

// tokens finds the operator of a bearer token.
type tokens struct {
	hashes    [][]byte
	operators []settings.OperatorToken
}

func newTokens(configured []settings.OperatorToken) *tokens {
	known := &tokens{}
	for _, token := range configured {
		hash, err := hex.DecodeString(token.Hash)
		if err != nil {
			continue
		}
		known.hashes = append(known.hashes, hash)
		known.operators = append(known.operators, token)
	}
	return known
}

// authenticate returns the operator of an Authorization header. Every hash is
// compared in constant time.
func (t *tokens) authenticate(authorization string) (Operator, error) {
	token, found := strings.CutPrefix(authorization, "Bearer ")
	if !found || token == "" {
		return Operator{}, fault.New(fault.Unauthenticated, "the operator's bearer token is missing")
	}
	hash := sha256.Sum256([]byte(token))
	match := -1
	for i := range t.hashes {
		if subtle.ConstantTimeCompare(hash[:], t.hashes[i]) == 1 {
			match = i
		}
	}
	if match < 0 {
		return Operator{}, fault.New(fault.Unauthenticated, "the operator's bearer token is unknown")
	}
	return Operator{Name: t.operators[match].Name, Role: t.operators[match].Role, Token: token}, nil
}
