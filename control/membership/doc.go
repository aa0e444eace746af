// Package membership runs the membership protocol of one instance: a duty passes digests, ticks
// and the requests of other duties to decision/membership, and sends the resulting digests.
// Other duties read the instance list and fetch records.
package membership
