package virtualnet

import "time"

// Message is one delivery.
type Message[T any] struct {
	DeliverAt time.Time
	To        string
	Payload   T
	order     uint64
}

// queue is a heap of messages in the order of their delivery.
type queue[T any] []Message[T]

func (q queue[T]) Len() int { return len(q) }

func (q queue[T]) Less(i, j int) bool {
	if q[i].DeliverAt.Equal(q[j].DeliverAt) {
		return q[i].order < q[j].order
	}
	return q[i].DeliverAt.Before(q[j].DeliverAt)
}

func (q queue[T]) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds a message for container/heap.
func (q *queue[T]) Push(item any) { *q = append(*q, item.(Message[T])) }

// Pop removes the last message for container/heap.
func (q *queue[T]) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
