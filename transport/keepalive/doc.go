// Package keepalive bounds the time after which TCP connections over a lost path fail.
//
// It sets socket options of Linux: keep-alive probes for connections that wait, and
// TCP_USER_TIMEOUT for those with unacknowledged bytes. A TCP_USER_TIMEOUT also decides when
// probes give up, whatever their count, and ends a connection whose peer acknowledges but doesn't read.
package keepalive
