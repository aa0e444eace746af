// Package call implements serving.CallRunner: it runs calls to plain services. It
// runs one machine of decision/call for each call and one committer of
// decision/claim for each claim shard, with their goroutines, requests to
// backend servers and accesses to the object store.
package call
