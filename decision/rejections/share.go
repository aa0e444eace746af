package rejections

// Share is the part of an instance in what the instances divide among them at one server.
type Share struct {
	// Rank is the position of the instance at that server, from 0; Instances is the number of instances.
	Rank      int
	Instances int
}

// places returns the instance's part of a number of places that are given out in the order of ranks, after others have
// been given out in the same way. The parts of all instances add up to the number.
func (s Share) places(count, after int) int {
	if s.Instances <= 1 {
		return count
	}
	position := (s.Rank - after%s.Instances + s.Instances) % s.Instances
	part := count / s.Instances
	if position < count%s.Instances {
		part++
	}
	return part
}
