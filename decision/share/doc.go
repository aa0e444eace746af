// Package share divides one limit of a client account among entry instances
// without a coordinator. It takes the limit, the local demand and the peers' last
// reports and returns this instance's share and the report to send. It sends
// nothing and counts no requests.
//
// Each instance runs a Holder for each limit and sends its Report with every
// exchange. The division follows demand: every instance gets its demand up to a
// common level, and what is left is divided equally. All amounts are integers,
// so that small limits over many instances lose nothing to rounding.
//
// A Holder lowers its share at once and raises it in two steps. It reports the
// larger share as reserved and waits two exchange periods. It commits the share
// only if every counted peer sent a report during the second period and the sum
// of all reserved and committed shares is within the limit; otherwise it withdraws
// the reservation. A message takes at most one period or is dropped, so that of
// two instances that reserve the same part at least the later one sees the
// earlier reservation. The sum of committed shares therefore stays within the
// limit whichever messages are lost. Only a change of the counted members can
// exceed it, until the next exchange has been read.
//
// When another data centre is cut off, its peers count with their last reported
// shares. Instances then pass shares on only within their own data centre, up to
// the sum that it held when the partition was detected. A failed peer is removed
// by its data centre's membership, not by silence. An instance that never counted
// a peer takes the whole limit at once, so the caller lists the members that it
// knows from settings or the platform before their first report.
package share
