// Package sse sends one HTTP request on a TCP connection of its own and reads the response,
// either as one body or as server-sent events. Connections are neither shared nor kept idle, so
// that closing one affects no other request. The package does not retry or reconnect.
package sse
