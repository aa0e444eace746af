// Package estate defines the configuration of the whole serving estate: the
// regions, data centres, firms, client accounts, models, services, rules and
// backend servers that operators declare.
//
// A Configuration is immutable once it is in force. Its revision is the
// platform's version of the configuration head; a higher revision replaces a
// lower one and never the other way round.
package estate
