// Package simengine drives generation machines against simulated engines in
// virtual time. Tests and policy experiments share it: it has simple fakes of
// engines, links and a router, and an oracle that records which tokens the
// engines produced after which prefix. Every random choice comes from the
// world's seeded source, so a run repeats exactly.
package simengine
