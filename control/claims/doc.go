// Package claims sends claim operations to the owner of their shard, an instance that commits
// many of them with one write to the platform. It neither chooses the owner nor retries.
package claims
