// Package limits exchanges the reports by which entry instances divide the limits of client
// accounts. Each instance sends its reports to every other known instance once a period. Package
// decision/share computes the division from them.
package limits
