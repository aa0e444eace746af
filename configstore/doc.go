// Package configstore reads and writes the configuration in the platform's object API.
//
// The object config/head lists immutable chunks by content hash. A change writes the changed
// chunks first and then replaces the head if it still has the version that was read. Only the
// replacement of the head commits a change: it makes a change of many objects atomic and orders
// concurrent changes, and its version is the revision of the configuration. Large kinds are
// split over several chunks, so that every value stays well below the platform's size limit.
package configstore
