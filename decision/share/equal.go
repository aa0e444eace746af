package share

// Equal returns the part of a limit that an instance gets when nothing is
// known of the others but their names. The parts of all instances sum to the
// limit.
func EqualPart(key string, limit int, instance string, others []string) int {
	claimants := make([]claimant, 0, len(others)+1)
	claimants = append(claimants, claimant{instance: instance})
	for _, other := range others {
		claimants = append(claimants, claimant{instance: other})
	}
	divide(key, limit, claimants)
	return claimants[0].part
}
