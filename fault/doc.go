// Package fault defines the typed errors of the whole system.
//
// Every failure that crosses a package boundary is an *Error. It carries a
// stable Code, the field it concerns, a readable reason, and, for calls, what
// is known about their execution. The HTTP status and the advice to
// operators belong to the code and are found in the catalogue.
package fault
