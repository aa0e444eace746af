// Package ctl implements the operator's command line: it sends one command, a
// script or the commands of a prompt to the operator listeners of the entry
// instances, prints tables, and watches the state of the estate. It also
// validates files of settings and estates, without an instance.
package ctl
