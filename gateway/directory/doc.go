// Package directory keeps the list of backend servers, merged from entries in the object
// store and from the lists of peers. It makes no calls itself.
package directory
