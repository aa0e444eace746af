// Package operator serves the operators of one entry instance: it runs their
// commands and answers probes, dumps and metrics on a listener of its own.
//
// A change is computed from the newest revision in the platform and committed
// under that revision with the command's id, so that it is applied once or not
// at all, whatever answers are lost. Each change leaves an audit event.
package operator
