// Package objectapi is a stand-in for the platform's object API, in memory: it
// has versions that grow over the whole store, conditional updates, watches,
// rate limits in which a waiting watch counts as a call, outages, and writes that
// are applied without an answer.
package objectapi
