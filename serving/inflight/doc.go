// Package inflight tracks the generations and calls that an instance runs, for
// its dump, its metrics and the recorded decisions. It wraps the interfaces of
// package serving and changes no requests or answers.
package inflight
