// Package directory keeps the list of backend servers, merged from entries in the object
// store and from the lists of peers. It makes no calls itself.
//
// Of two entries of a server the one with the later revision counts. The store may come back from an
// older copy of itself, in a later era, and list what had changed since; so a process that drained or
// was removed in an earlier era stays so until the store shows otherwise in the later one.
package directory
