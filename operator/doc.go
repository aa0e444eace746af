// Package operator serves the operators of one entry instance: it runs their
// commands and answers probes, dumps and metrics on a separate listener.
//
// A change is computed from the newest revision in the platform and committed
// on condition of that revision with the command's id, so that it is applied
// at most once even if answers are lost. Each change logs an audit event.
package operator
