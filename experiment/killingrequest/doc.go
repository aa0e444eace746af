// Package killingrequest sends requests that end every server that runs them
// through instances that keep a quarantine book each, in virtual time, beside
// innocent requests and racks that go down whole.
package killingrequest
