// Package forward serves clients' requests: it finds their route, sends them to
// backend servers, and answers.
//
// A request is rejected with a status that promises that it has not run only
// when no byte of it can have reached a backend server, or when the server
// itself said so.
package forward
