// Package directory keeps the known backend servers, as the object store and
// other instances report them.
package directory
