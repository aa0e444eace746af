// Package ctl is the operator's command line: it runs one command, a script or
// a prompt against the operator listeners of the entry instances, and shows
// tables, dumps and a live view of the estate.
package ctl
