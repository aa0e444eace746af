// Package sse sends one HTTP request on a TCP connection of its own and reads
// its answer, either whole or as server-sent events. Because no connection is
// shared or kept idle, closing one breaks nothing else.
package sse
