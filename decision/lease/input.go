package lease

// Input is an event that a Machine processes: Tick, ReadAnswer, CallFailed,
// Written, Conflict or Resign. An answer carries the number of its call; the
// answer to a call that already counts as failed is ignored.
type Input interface{ isInput() }

// Tick reports that time has passed.
type Tick struct{}

// ReadAnswer is the answer to a Read: the lease object.
type ReadAnswer struct {
	Call    uint64
	Found   bool
	Version uint64
	Record  Record
}

// CallFailed means that a call got no answer; a write may have been applied.
type CallFailed struct{ Call uint64 }

// Written means that the write was applied and created the version.
type Written struct {
	Call    uint64
	Version uint64
}

// Conflict means that the write's condition did not hold.
type Conflict struct{ Call uint64 }

// Resign requests that the candidate release the lease.
type Resign struct{}

func (Tick) isInput()       {}
func (ReadAnswer) isInput() {}
func (CallFailed) isInput() {}
func (Written) isInput()    {}
func (Conflict) isInput()   {}
func (Resign) isInput()     {}
