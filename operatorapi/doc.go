// Package operatorapi defines the messages between an operator's client and
// the operator listener of an entry instance.
package operatorapi
