package peers

import (
	"slices"
	"time"
)

// maxCutOffServices is the maximum number of services that a digest names. A longer list is sent
// as all services.
const maxCutOffServices = 16

// CutOff states of which services an instance reaches no backend server.
type CutOff struct {
	// All is set when the instance reaches no server of any service.
	All bool
	// Services are those services without All.
	Services []string
}

// Includes reports whether the instance reaches no server of a service.
func (c CutOff) Includes(service string) bool { return c.All || slices.Contains(c.Services, service) }

// Equal reports whether both state the same.
func (c CutOff) Equal(other CutOff) bool {
	return c.All == other.All && slices.Equal(c.Services, other.Services)
}

// bounded returns the statement as it is sent.
func (c CutOff) bounded() CutOff {
	if c.All || len(c.Services) > maxCutOffServices {
		return CutOff{All: true}
	}
	return CutOff{Services: slices.Clone(c.Services)}
}

// appendCutOff appends the services; All is a flag of the digest.
func appendCutOff(b []byte, cutOff CutOff) []byte {
	for _, service := range cutOff.Services {
		b = appendIfFits(b, tagCutOffService, []byte(service))
	}
	return b
}

// decodeService adds a service; those beyond the bound are ignored.
func (c *CutOff) decodeService(name []byte) {
	if len(name) > 0 && len(c.Services) < maxCutOffServices {
		c.Services = append(c.Services, string(name))
	}
}

// AnnounceCutOff replaces what this instance states about itself in all further digests, and makes
// a sample of peers get a digest at once when it has changed. It never blocks.
func (s *Service) AnnounceCutOff(cutOff CutOff) {
	cutOff = cutOff.bounded()
	s.mu.Lock()
	changed := !cutOff.Equal(s.cutOff)
	s.cutOff = cutOff
	s.mu.Unlock()
	if !changed {
		return
	}
	select {
	case s.cutOffNews <- struct{}{}:
	default:
		// Run has a pending signal already.
	}
}

// minCutOffInterval is the minimum time between two digests that are sent at once because the statement changed.
const minCutOffInterval = time.Second

// sendCutOff sends a digest to a sample of peers. Soon after the last one, peers get the statement with the
// usual digests.
func (s *Service) sendCutOff() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.cutOffSentAt) < minCutOffInterval {
		return
	}
	s.cutOffSentAt = now
	s.sendToSample(nil, maxLocalFailurePeers, maxRemoteFailurePeers)
}
