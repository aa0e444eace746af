// Package atmostonce runs the decision packages of calls in virtual time through
// fault schedules and under load. An oracle checks the results and uses only what
// the callers and the backend servers can observe.
//
// The experiment at-most-once and the property tests run the same schedules: the
// experiment draws the choices from a seed, the tests from rapid. No network,
// disk or real clock is used.
package atmostonce
