package estate

import (
	"encoding/json"
	"time"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Duration is a time.Duration written with its unit, such as "1.5s".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON writes the duration with its unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a duration with its unit; a bare number is an error.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fault.Invalid("duration", "must be a string with a unit, such as \"1.5s\"")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fault.Invalid("duration", "must have a unit, such as \"1.5s\"; found \""+text+"\"")
	}
	if parsed < 0 {
		return fault.Invalid("duration", "must not be negative")
	}
	*d = Duration(parsed)
	return nil
}
