// Package entry assembles one entry instance: its transports, the serving path
// and its background duties.
//
// New takes the settings and a logger; Start listens on the instance's addresses
// and Stop ends it without cutting requests. The package holds no policy: what
// is served where is decided in the packages that it connects.
package entry
