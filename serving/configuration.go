package serving

import "github.com/wisteriahaven/wisteriahaven/estate"

// ConfigurationSource gives the configuration in force.
type ConfigurationSource interface {
	// Current returns the configuration in force, nil before the first one.
	// The result must not be changed.
	Current() *estate.Configuration
}
