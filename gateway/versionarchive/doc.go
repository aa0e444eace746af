// Package versionarchive keeps in the platform's store which software versions the servers of each service had
// lately, so that instances that start after the loss of all know of versions that left meanwhile.
//
// Each instance reads them once when it starts, and observes its list of servers from then on. One instance of
// a data centre writes them into one object when a version has come or left.
package versionarchive
