// Package loopback runs a whole estate in one process on loopback addresses:
// the platform, the model engines, the plain services and the entry instances
// of an example directory, on free ports or on the declared addresses.
package loopback
