// Package membership decides which entry instances are alive and distributes
// their records, notices and demand reports by gossip. It opens no sockets,
// starts no goroutines and reads no clock.
//
// A Table holds the view of one instance. The caller passes it one Input at a
// time with the current time and carries out the Output: datagrams to send and
// changes to report. Ticks should come every Config.TickInterval. A gap of
// Config.PauseThreshold or more between inputs is treated as a pause of this
// instance, and no other instance is suspected for being silent during it.
//
// # Exchange
//
// Once a period the table probes a fixed number of instances with a Digest of
// bounded size, and each replies with a digest of its own. A digest carries
// the sender's record and a rotating part of the other records, notices and
// reports; recently changed items go first. Updates that can't wait a period
// (a configuration revision, a notice, a change of health) are sent at once in
// small digests without replies, within a token bucket of bytes. The cost of an
// instance therefore does not grow with the number of instances.
//
// Instances of one data centre exchange with each other. A few bridges, chosen
// by rendezvous hash, exchange with bridges of the other data centres.
//
// # Order of records
//
// A record with a higher incarnation replaces one with a lower incarnation; at
// the same incarnation the worse health wins. Only the instance itself raises
// its incarnation, so that a paused instance can't bring old state back. A
// record carries its age, the time since the instance itself was last known to
// be up. A record older than half of Config.DeadRetention adds no instance, and a
// dead instance is kept for the whole of it, so that a removed instance does not
// return either. After a pause every sender has to answer a probe again, because
// digests that waited in the socket are of unknown age.
//
// Notices (drains and quarantines) carry a stamp that grows with every change,
// and an absolute expiry. A withdrawn notice stays until its expiry.
package membership
