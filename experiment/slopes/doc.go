// Package slopes measures how the cost of the control duties at one node grows with the number of
// instances, backend servers, client accounts and configuration changes. docs/CAPACITY.md
// extrapolates from these slopes to the full size.
package slopes
