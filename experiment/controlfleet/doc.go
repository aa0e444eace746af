// Package controlfleet drives the membership and configuration decisions of
// many instances in virtual time, with links and a platform that can fail. It
// carries messages only; every decision is made by the decision packages.
package controlfleet
