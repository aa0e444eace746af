// Package routing chooses the backend server of one attempt.
//
// A Pipeline filters the servers of the request's service, model and version,
// scores what is left and picks one. Its stages are small plugins in the
// packages filter, score and pick; all of them look at one snapshot.View. The
// rules are a filter like the others and hold for every purpose, because no
// purpose passes by the pipeline. The package is deterministic: equal views
// and equal random sources give equal choices.
package routing
