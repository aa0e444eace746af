// Package streamarchive keeps the records of which software version began each stream in the
// platform's store while several versions serve, so that they outlast the loss of all instances.
//
// One instance of a data centre writes the records of the last seconds four times a second, in a few
// objects that it reuses. While a service has a single version nothing is written.
package streamarchive
