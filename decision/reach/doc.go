// Package reach decides whether an instance is cut off from the backend servers of a service.
//
// The caller reports which new connections to servers were opened and which failed. An instance
// is cut off from a service when new connections to all of the service's servers, or to several of
// them, failed in a row and none was opened for a short while. Whether the servers are down or
// only this instance can't reach them is not known here. The package opens no connections and is
// deterministic: the caller passes in the time.
package reach
