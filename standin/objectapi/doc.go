// Package objectapi is a stand-in for the platform's object API.
//
// It has versions that grow over the whole store, conditional updates, watches,
// and rate limits in which a waiting watch counts as a call. On request it has
// outages, and applies writes without sending their answers. Objects are kept
// in memory only.
package objectapi
