// Package limits measures in virtual time how client account limits and fair
// queues hold over many entry instances.
//
// The first part runs decision/share on 1, 8 and 64 instances with lagging and
// lost reports, changing demand, restarts and a data centre that is cut off,
// and measures for how long the shares in use exceed the limit. The second
// runs decision/admission on several instances at and over capacity and
// measures the requests that are answered in time.
package limits
