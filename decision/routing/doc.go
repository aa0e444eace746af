// Package routing chooses the backend server of one attempt.
//
// A Pipeline takes a snapshot.View, filters the servers of the request's
// service, model and version, scores the remaining ones and returns one of
// them as a Choice. Its stages are plugins in the packages filter, score and
// pick. The rules are a filter and apply to every purpose, because every
// purpose is routed through the pipeline. The package sends nothing and is
// deterministic: equal views and equal random sources give equal choices.
package routing
