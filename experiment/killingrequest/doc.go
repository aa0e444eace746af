// Package killingrequest simulates poison requests, which crash every server that
// runs them, beside harmless requests and failures of whole racks. Each instance has
// its own quarantine tracker. It runs in virtual time, without real servers.
package killingrequest
