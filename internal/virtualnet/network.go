// Package virtualnet delivers messages between decision packages in virtual
// time, in one goroutine and in the same order for the same seed.
package virtualnet

import (
	"container/heap"
	"time"
)

// Delay says how long a message takes from one node to another, and whether
// it arrives at all.
type Delay func(from, to string) (wait time.Duration, arrives bool)

// Network holds the messages on their way.
type Network[T any] struct {
	now   time.Time
	delay Delay
	queue queue[T]
	order uint64
}

// New returns an empty network whose clock starts at the given time.
func New[T any](start time.Time, delay Delay) *Network[T] {
	return &Network[T]{now: start, delay: delay}
}

// Now returns the virtual time.
func (n *Network[T]) Now() time.Time { return n.now }

// Send sends a message between two nodes.
func (n *Network[T]) Send(from, to string, payload T) {
	wait, arrives := n.delay(from, to)
	if arrives {
		n.At(n.now.Add(wait), to, payload)
	}
}

// At delivers a message to a node at a time.
func (n *Network[T]) At(when time.Time, to string, payload T) {
	n.order++
	heap.Push(&n.queue, Message[T]{DeliverAt: when, To: to, Payload: payload, order: n.order})
}

// Next removes the next message that is due by the limit and moves the clock
// to it. Without one the clock moves to the limit.
func (n *Network[T]) Next(limit time.Time) (Message[T], bool) {
	if len(n.queue) == 0 || n.queue[0].DeliverAt.After(limit) {
		n.now = limit
		return Message[T]{}, false
	}
	message := heap.Pop(&n.queue).(Message[T])
	if message.DeliverAt.After(n.now) {
		n.now = message.DeliverAt
	}
	return message, true
}
