package generation

import (
	"encoding/base64"
	"encoding/json"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// cursorPosition is the position in an answer that a cursor stands for.
type cursorPosition struct {
	Version string           `json:"v"`
	Seed    uint64           `json:"s"`
	Offset  int              `json:"o"`
	Hash    rollinghash.Hash `json:"h"`
}

func (p cursorPosition) encode() string {
	body, err := json.Marshal(p)
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(body)
}

func decodeCursor(text string) (cursorPosition, error) {
	var position cursorPosition
	body, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return position, fault.Wrap(fault.CursorInvalid, "serving/generation", "decode cursor", err)
	}
	if err := json.Unmarshal(body, &position); err != nil {
		return position, fault.Wrap(fault.CursorInvalid, "serving/generation", "decode cursor", err)
	}
	return position, nil
}
