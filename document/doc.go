// Package document reads JSON with comments strictly.
//
// Decode fills a Go value and finds every unknown field, duplicate field,
// wrong type and wrong unit in one pass, each with its path and its line.
// Checks that a package makes on the decoded value report problems by path;
// Locate adds their lines.
package document
