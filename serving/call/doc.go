// Package call runs calls to plain services. It drives one machine of
// decision/call for each call and one committer of decision/claim for each
// claim shard, and holds their goroutines and input and output.
package call
