// Package limits measures in virtual time how well many entry instances together
// keep client account limits, and how fair their admission queues are.
//
// The first part runs decision/share on 1, 8 and 64 instances with delayed and
// lost reports, changing demand, restarts and a data centre that is cut off. It
// measures for how long the shares in use exceed the limit. The second part runs
// decision/admission on several instances at and over capacity. It measures the
// requests that are answered in time.
package limits
