package lease

// Output is a call that the caller makes: Read or Write.
type Output interface{ isOutput() }

// Read requests the lease object.
type Read struct {
	// Call numbers the call; its answer carries the same number.
	Call uint64
}

// Write requests a conditional write of the lease object.
type Write struct {
	// Call numbers the call; its answer carries the same number.
	Call   uint64
	Record Record
	// IfVersion is the version the object must have; zero means that it must
	// not exist.
	IfVersion uint64
}

func (Read) isOutput()  {}
func (Write) isOutput() {}
