// Package routing compares routing policies in virtual time.
//
// Under every policy, several entry instances send the same requests through decision/routing to
// simulated engines with slots, a serial prefill and a prefix cache of limited size. Load reports
// lag. The policies differ in their scorers and pickers and in the correction of load reports.
package routing
