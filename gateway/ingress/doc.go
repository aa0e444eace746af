// Package ingress reads clients' requests and writes their answers.
package ingress
