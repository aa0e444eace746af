// Package demo runs an example estate on loopback, breaks engines, connections
// and entry instances while answers stream, and checks every answer token by
// token.
package demo
