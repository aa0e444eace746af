// Package forward serves clients' requests: it finds the route of a request,
// sends it to backend servers, and forwards their answer or sends one of its own.
// It does not read from client connections and does not load the configuration.
//
// A request is rejected with a status that promises that it did not run only when
// no byte of it can have reached a backend server, or when the server stated so.
package forward
