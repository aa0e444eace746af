// Package routing compares routing policies in virtual time.
//
// Several entry instances send the same requests through decision/routing to
// engines with slots, a serial prefill and a prefix cache of limited memory.
// Load reports lag. The policies differ in their scorers and pickers only.
package routing
