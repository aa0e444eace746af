package serving

import "github.com/wisteriahaven/wisteriahaven/estate"

// ConfigurationSource returns the in-force configuration.
type ConfigurationSource interface {
	// Current returns the in-force configuration, nil before the first one.
	// The result must not be changed.
	Current() *estate.Configuration
}
