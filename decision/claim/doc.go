// Package claim decides who may run a non-idempotent call.
//
// A key (client account and Idempotency-Key) belongs to one shard of the
// account's home region. A shard is a head object in the platform's object API
// and a list of immutable segments. The head holds the newest entries and the
// references of the segments; every change of it is a conditional update.
//
// A Committer holds one shard's state in one instance. It gathers operations
// over a short window and commits them together by one update of the head.
// Safety rests on the conditional update alone: any number of instances may
// run a Committer for the same shard. The instance that is the shard's home
// (see Home) only saves writes and reads.
//
// States of a key:
//
//	absent   -> claimed by an attempt          Claim
//	claimed  -> outcome recorded               Record, same attempt
//	claimed  -> absent, the attempt is void    Release, same attempt
//
// A release is always written, even when the claim is not seen: it voids the
// attempt, so that a claim that is still on its way can't take effect later.
// Only the claimant may release, and only when it never sent the call and
// never will.
//
// The package is deterministic: inputs are operations, results of reads and
// writes, and ticks; outputs are reads, writes, deletions and answers. Time
// and the random source are passed in.
package claim
