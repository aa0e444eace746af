// Package score gives servers a cost for one request; the lowest is best.
//
// A Scorer looks at all remaining servers at once and adds its cost to each.
// It may nominate servers, so that a picker that samples sees them.
package score
