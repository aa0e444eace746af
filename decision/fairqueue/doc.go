// Package fairqueue orders waiting requests fairly between client accounts.
//
// Each account has a virtual time that grows by cost over weight with every
// request taken; the account with the least virtual time is next. An account
// that was idle starts at the queue's virtual time, so that it neither gains
// credit while idle nor waits behind another account's backlog. Within an account
// higher priorities go first, then older requests. A full queue drops a request of
// the account with the longest backlog for its weight, so that a large account
// can't displace a small one. The package is deterministic; the time is passed in.
package fairqueue
