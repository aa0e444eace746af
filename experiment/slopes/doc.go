// Package slopes measures what the control duties cost one node, against the
// number of instances, backend servers, client accounts and configuration
// changes. docs/CAPACITY.md works out the full size from these slopes.
package slopes
