// Package document reads JSON with comments strictly.
//
// Decode fills a Go value and reports every unknown field, duplicate field,
// wrong type and wrong unit in one pass, each with its path and its line. It
// does not validate the values: packages do that on the decoded value and report
// problems by path, to which Locate adds the lines.
package document
