package forward

// cutOff reports whether this instance reaches no server of a service.
func (s *selector) cutOff(string) bool { return false }
