// Package peers lets instances tell each other what each has sent to backend
// servers, which servers they lost, and which configuration they know.
//
// Digests travel as datagrams and may be lost. What is larger, a configuration
// or the list of backend servers, is read over HTTP by an instance that learns
// from a digest that another one knows more, for instance because it is cut off
// from the object store.
package peers
