// Package client is the Go client for callers. It streams answers, resumes an
// interrupted one on any instance, and retries calls only where that is safe.
package client
