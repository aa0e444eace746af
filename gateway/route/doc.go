// Package route holds the routes, services and client accounts of one version
// of the configuration, and finds the route of a request.
package route
