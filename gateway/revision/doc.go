// Package revision orders the changes of the object store, also those before and after the store
// came back from an older copy of itself. It neither reads the store nor keeps any state.
package revision
