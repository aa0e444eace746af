// Package quarantinearchive keeps the requests that are quarantined in the platform's store, so that they
// stay so after the loss of all instances.
//
// Each instance reads them once when it starts. One instance of a data centre writes all that it knows into one
// object when they change.
package quarantinearchive
