package dump

import "encoding/json"

// Section is the state of one part of a process that only people read.
type Section struct {
	Name  string          `json:"name"`
	State json.RawMessage `json:"state"`
}

// NewSection returns a section with a part's state as JSON.
func NewSection(name string, state any) Section {
	encoded, err := json.Marshal(state)
	if err != nil {
		encoded = []byte("null")
	}
	return Section{Name: name, State: encoded}
}
