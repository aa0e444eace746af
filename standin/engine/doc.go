// Package engine is a stand-in for a model engine.
//
// It batches continuously, keeps a prompt prefix cache of limited memory,
// honours priorities, resumes and cancels streams, reports its load with a lag
// and takes orders. Its answers are defined by Answer, so that a test can say
// token by token what is right. Its faults are set by method or over HTTP at
// POST /control.
package engine
