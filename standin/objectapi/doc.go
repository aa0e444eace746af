// Package objectapi is a stand-in for the platform's object API: versions that
// grow over the whole store, conditional updates, watches, rate limits where a
// waiting watch counts as a call, outages, and writes that are applied while
// their answer is lost.
package objectapi
