// Package entry assembles one entry instance: its transports, the serving path
// and its background duties.
package entry
