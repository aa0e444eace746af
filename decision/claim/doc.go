// Package claim decides who may run a non-idempotent call.
//
// A key (client account and Idempotency-Key) belongs to one shard of the
// account's home region. A shard is a head object in the platform's object API
// and a list of immutable segments. The head holds the newest entries and the
// references of the segments; every change of it is a conditional update.
//
// A Committer holds one shard's state in one instance. It collects operations
// over a short window and commits them together with one update of the head.
// Safety depends on the conditional update alone: any number of instances may
// run a Committer for the same shard. Sending all operations to the shard's
// owner (see Shard.Owner) only reduces the number of reads and writes.
//
// States of a key:
//
//	absent   -> claimed by an attempt          Claim
//	claimed  -> outcome recorded               Record, same attempt
//	claimed  -> absent, the attempt is void    Release, same attempt
//
// A release is always written, even when no claim is found: it voids the
// attempt, so that a claim that is still in flight can't take effect later. Only
// the claimant may release, and only when it never sent the call and never will.
//
// The package is deterministic: inputs are operations, results of reads and
// writes, and ticks; outputs are reads, writes, deletions, answers and requests
// for a tick. The caller carries them out and passes in the time and the random
// source. The package sends no calls to backend servers.
package claim
