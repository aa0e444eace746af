// Package score assigns each server a cost for one request; the lowest is best.
//
// A Scorer takes all remaining servers at once and adds its cost to each. It
// may nominate servers, so that a picker that samples includes them. It removes
// no server.
package score
