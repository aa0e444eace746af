// Package limits exchanges the reports that divide the limits of client
// accounts between entry instances. Each instance sends its reports to every
// other known instance once a period; the division itself is decided by
// decision/share.
package limits
