// Package estate defines the configuration of the whole serving estate: the
// regions, data centres, firms, client accounts, models, services, rules and
// backend servers that operators declare.
//
// The package parses, validates and looks up configurations; storing and
// distributing them is the task of others. A Configuration is immutable once it
// is in force. Its revision is the platform's version of the configuration head;
// a lower revision never replaces a higher one.
package estate
