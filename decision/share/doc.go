// Package share divides one limit of a client account among entry instances
// without coordination.
//
// Each instance runs a Holder for each limit and sends its Report with every
// exchange. The division follows demand: every instance gets what it wants up
// to a common level, and what nobody wants is divided equally. All amounts are
// integers, so that small limits over many instances lose nothing to rounding.
//
// A Holder gives at once and takes in two steps. It announces the larger share
// as reserved, waits two exchange periods, and settles it only when every
// counted peer was heard during the second period and the sum of all reserved
// and settled shares is within the limit; otherwise it withdraws. A message
// takes at most one period or is dropped, so that of two instances that
// reserve the same part at least the later one sees the earlier. The sum of
// settled shares therefore stays within the limit whatever is lost; only a
// change of the members that are counted can exceed it, until the next
// exchange has been read.
//
// When another data centre is cut off, its peers count with the shares they
// had. Instances then pass shares on only within their own data centre, up to
// the sum that it held when the cut was noticed. A peer that died is removed
// by its data centre's membership, not by silence. An instance that never
// counted a peer takes the whole limit at once, so the caller names the members that it
// knows from settings or lists before they are heard.
package share
