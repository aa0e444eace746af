// Package controlfleet runs the membership and configuration decisions of many
// instances in virtual time, with links and a platform that can fail. It only
// delivers messages and timers; the decision packages make every decision.
package controlfleet
