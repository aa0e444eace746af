// Package claims carries claim operations between instances: to the home of
// their shard, which commits many of them with one write to the platform.
package claims
