// Package transport holds the messages between instances and their transports.
//
// The generated code is committed. After a change of a .proto file run
//
//	go generate ./transport
//
// which needs only Go tools, and records the checksums that the tests compare.
package transport

//go:generate go tool -modfile=../tools/go.mod buf generate
//go:generate go run ./internal/checksum
