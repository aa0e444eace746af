// Package cursor encodes the position of a caller in one answer.
//
// A cursor is the id of a server-sent event. It names everything an entry
// instance needs to continue the answer without a lookup: the engine stream,
// the offset, the pinned model version and seed, and hashes of the delivered
// tokens. It is opaque to callers and authenticated with HMAC-SHA256 under one
// of the keys of the settings, so a forged or altered cursor is refused. Keys
// have ids: the active one signs and all of them verify, so that keys can be
// rotated without downtime.
//
// Failures are *fault.Error with CursorInvalid, or SettingsInvalid for a key
// ring that can't be used.
package cursor
