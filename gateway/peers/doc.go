// Package peers exchanges state between instances: the load that each puts on
// backend servers, the servers that it can't reach or that leave, how fast generations
// proceed, and the versions of its configuration and its list of backend servers.
//
// Digests are sent as UDP datagrams and may be lost. A configuration or a list of backend
// servers is too large for a datagram: an instance reads it over HTTP from a peer whose digest
// shows a newer one, for instance while the instance is cut off from the object store.
package peers
