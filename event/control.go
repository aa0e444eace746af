package event

import "github.com/rs/zerolog"

// Events of membership, configuration and orders, numbered from 5000.
var (
	ConfigurationInForce = Definition{5000, "configuration_in_force", zerolog.InfoLevel, "a newer revision of the configuration is in force", "none"}
)

var controlEvents = []Definition{ConfigurationInForce}
