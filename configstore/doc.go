// Package configstore keeps the configuration in the platform's object API.
//
// The object config/head lists immutable chunks by content hash. A change
// writes the changed chunks first and then replaces the head under the version
// that was read. The head alone decides: it makes a change of many objects all
// or nothing, orders racing changes, and its version is the configuration's
// revision. No value nears the platform's size limit, because big kinds are
// split over several chunks.
package configstore
