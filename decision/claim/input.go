package claim

// Input is one event that a Committer processes.
type Input interface{ input() }

// Submit submits an operation.
type Submit struct{ Operation Operation }

// Tick reports that time has passed.
type Tick struct{}

// ReadDone is the result of a Read.
type ReadDone struct {
	Ticket uint64
	Status Status
	// Value and Version are set when the status is StatusOK.
	Value   []byte
	Version uint64
}

// WriteDone is the result of a Write.
type WriteDone struct {
	Ticket uint64
	Status Status
	// Version is the new version when the status is StatusOK.
	Version uint64
}

// Status is the outcome of a read or write.
type Status uint8

// The statuses of reads and writes.
const (
	// StatusOK means that the read or write took effect.
	StatusOK Status = iota
	// StatusAbsent means that the object does not exist; reads only.
	StatusAbsent
	// StatusConflict means that the condition did not hold; writes only.
	StatusConflict
	// StatusFailed means that the result is unknown: a write may have taken
	// effect or may still do so.
	StatusFailed
)

func (Submit) input()    {}
func (Tick) input()      {}
func (ReadDone) input()  {}
func (WriteDone) input() {}
