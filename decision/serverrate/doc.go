// Package serverrate divides the request rates that backend servers state among the instances, without a coordinator.
// A server in need states in its answers how many requests a second it takes from all instances together. The instances rank
// themselves at each such server, all alike; the first ones have equal parts of its rate, and the others send it nothing. The
// parts add up to the rate whatever messages are late or lost, as long as the instances know each other.
// A Table takes the statements of answers to its instance and those that peers report. It has no clock, sockets or locks.
package serverrate
