// Package rejections keeps requests away from backend servers that fail when they have to reject many.
// Such a server states in all its answers its rejection limit: how many requests it can reject in a second for want of
// room. The instances divide the places of each such server, and a part of its limit, by their ranks at that server, which
// all of them compute alike: so their sum holds without an exchange for each request. What they report to each
// other, their loads and the rejections that they saw, only reduces what each of them may send.
// A Table takes the statements and rejections of its instance and those that peers report. It has no clock, sockets or locks.
package rejections
