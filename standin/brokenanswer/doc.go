// Package brokenanswer simulates servers whose answers can't be trusted: they send given bytes, and end or reset their
// connections at given places.
package brokenanswer
