// Package fairqueue orders waiting requests fairly between client accounts.
//
// Each account has a virtual time that grows by cost over weight with every
// request taken; the account with the least virtual time is next. An account
// that was idle starts at the present virtual time, so that it neither saves
// turns up nor waits behind another's backlog. Within an account higher
// priorities go first, then older requests. A full queue drops from the
// account with the longest queue for its weight, so that a large account
// can't push a small one out. The package is deterministic.
package fairqueue
