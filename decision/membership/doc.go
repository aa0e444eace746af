// Package membership decides which entry instances are alive, and spreads
// what they tell each other, without sockets, goroutines or a clock.
//
// A Table holds the view of one instance. The caller feeds it one Input at a
// time with the current time and carries out the Output: datagrams to send and
// changes to report. Ticks should come every Config.TickInterval; a longer gap
// is taken for a pause of the instance, and no other instance is suspected for
// silence during it.
//
// # Exchange
//
// Once a period the table probes a fixed number of instances with a Digest of
// bounded size, and each answers with a digest of its own. A digest carries
// the sender's record, a rotating part of the other records, notices and
// reports; whatever changed lately goes first. News that can't wait a period
// (a configuration revision, a notice, a change of health) goes out at once in
// small digests without answers, within a bucket of bytes. The cost of an
// instance therefore does not grow with their number.
//
// Instances of one data centre exchange with each other. A few bridges, chosen
// by rendezvous hash, exchange with bridges of the other data centres.
//
// # Order of records
//
// A record with the higher incarnation replaces a lower one; under the same
// incarnation the worse health wins. Only the instance itself raises its
// incarnation, so that a paused instance can't bring old state back. A record
// carries its age, the time since the instance itself was heard: a record
// older than half of Config.ForgetAfter adds nobody, and a dead instance is kept that
// long, so that a forgotten instance does not return either. After a pause every
// sender has to prove itself again, because waiting digests are of unknown age.
//
// Notices (leaving marks and quarantines) carry a stamp that grows with every
// change, and an absolute expiry. A withdrawn notice stays until its expiry.
package membership
