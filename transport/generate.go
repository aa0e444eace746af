// Package transport holds the definitions of the messages between instances and,
// in its subdirectories, the transports to peers, callers and backend servers.
//
// The generated code is committed. After a change of a .proto file run
//
//	go generate ./transport
//
// which needs only Go tools and records the checksums that a test compares.
package transport

//go:generate go tool -modfile=../tools/go.mod buf generate
//go:generate go run ./internal/checksum
