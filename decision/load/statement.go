package load

import (
	"fmt"
	"time"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

const (
	// percentUsual is the statement of a server whose work takes as long as usual.
	percentUsual = 100
	// minPercent and maxPercent bound how long work may take by a statement: what is beyond is no measurement.
	minPercent = 5
	maxPercent = 5000
	// maxRequests and maxMemory bound the requests and the tokens of one server.
	maxRequests = 100_000
	maxMemory   = 1 << 31
	// maxStatementAge is the age from which a statement is of no use.
	maxStatementAge = 2 * time.Second
)

// check returns which figure of a statement is absurd or too old.
func (s *Statement) check() error {
	switch {
	case s.Running < 0 || s.Running > maxRequests:
		return invalid("running requests", s.Running)
	case s.Waiting < 0 || s.Waiting > maxRequests:
		return invalid("waiting requests", s.Waiting)
	case s.WorkPercent != 0 && (s.WorkPercent < minPercent || s.WorkPercent > maxPercent):
		return invalid("time of work in percent", s.WorkPercent)
	case s.MemoryUsed < 0 || s.MemoryUsed > maxMemory:
		return invalid("memory in tokens", s.MemoryUsed)
	case s.Age < 0 || s.Age > maxStatementAge:
		return fault.New(fault.AnswerFieldInvalid, "load of a server: too old: "+s.Age.String())
	}
	return nil
}

func invalid(figure string, value int) error {
	return fault.New(fault.AnswerFieldInvalid, fmt.Sprintf("load of a server: %s: %d is not possible", figure, value))
}
