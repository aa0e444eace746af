// Package upstream opens connections to backend servers, sends requests and reads
// answers over them, and pools idle ones. It neither chooses servers nor retries.
package upstream
