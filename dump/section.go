package dump

import "encoding/json"

// Section is the state of one component of a process, for people: no program
// reads its fields.
type Section struct {
	Name  string          `json:"name"`
	State json.RawMessage `json:"state"`
}

// NewSection returns a section with a component's state as JSON, null when it
// can't be encoded.
func NewSection(name string, state any) Section {
	encoded, err := json.Marshal(state)
	if err != nil {
		encoded = []byte("null")
	}
	return Section{Name: name, State: encoded}
}
