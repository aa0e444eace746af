package claim

// MaxRecordedBody is the largest answer body that is stored, in bytes. Of a
// larger answer only status and content type are stored.
const MaxRecordedBody = 4 << 10

// Outcome is the recorded answer of a backend server.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	// BodyOmitted means that the body exceeded MaxRecordedBody.
	BodyOmitted bool
}

// Bounded returns the outcome without a body larger than MaxRecordedBody.
func (o Outcome) Bounded() Outcome {
	if len(o.Body) > MaxRecordedBody {
		o.Body = nil
		o.BodyOmitted = true
	}
	return o
}
