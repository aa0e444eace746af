package sse

// Event is one server-sent event. Its slices are valid until the next read.
type Event struct {
	// ID is the event's id field.
	ID []byte
	// Name is the event field, empty for an ordinary message.
	Name []byte
	// Data is the data field.
	Data []byte
	// Comment is true for a comment without data.
	Comment bool
}
