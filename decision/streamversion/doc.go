// Package streamversion records the software version of the backend servers that began each
// stream.
//
// What two software versions write doesn't fit together, so that an interrupted stream may
// continue only at the version that began it, also when its client resumes it at another instance.
// Backend servers don't check this. The package keeps the records of one instance in bounded
// memory; it sends nothing and has no clock.
package streamversion
