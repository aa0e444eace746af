// Package message defines the data that the forwarder needs of requests and
// answers, independent of the header fields that carry it. It does no parsing.
package message
