// Package demo runs an example estate on loopback, stops engines, entry
// instances and a data centre while answers stream, and checks every answer
// token by token.
package demo
