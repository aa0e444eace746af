// Package engine is a stand-in for a model engine.
//
// It batches continuously, keeps a prompt prefix cache of limited size, queues by
// priority, resumes and cancels streams, reports its load with a lag and carries
// out orders. It runs no model: Answer defines each answer from the request, so
// that a test can check every token. Faults are set by method or over HTTP at
// POST /control.
package engine
