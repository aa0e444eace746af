package lease

import "time"

// callKind is the kind of the call in flight.
type callKind uint8

const (
	noCall callKind = iota
	readCall
	writeCall
)

// Machine is the state machine of one candidate. It is not safe for concurrent use.
type Machine struct {
	settings Settings

	// held is true from a written record until a conflict or a resignation;
	// the lease is valid only until validUntil.
	held       bool
	version    uint64
	validUntil time.Duration

	// nonce is that of the last record, sent at sentAt.
	nonce  uint64
	sentAt time.Duration
	// resigning means that the next write releases the lease.
	resigning bool
	resigned  bool

	// seenVersion is another holder's version, first read at seenSince.
	seenVersion uint64
	seenSince   time.Duration

	callInFlight callKind
	callSentAt   time.Duration
	callNumber   uint64
	nextCallAt   time.Duration
}

// New returns a candidate that does not hold the lease.
func New(settings Settings) *Machine {
	return &Machine{settings: settings}
}

// Held returns the fencing token and whether this candidate holds a valid lease at
// the local monotonic time.
func (m *Machine) Held(now time.Duration) (fencing uint64, valid bool) {
	if !m.held || m.resigning || now >= m.validUntil {
		return 0, false
	}
	return m.version, true
}

// Step processes one input at the local monotonic time and returns the calls to
// make.
func (m *Machine) Step(now time.Duration, input Input) []Output {
	switch in := input.(type) {
	case Tick:
		return m.tick(now)
	case ReadAnswer:
		return m.handleRead(now, in)
	case CallFailed:
		if in.Call == m.callNumber {
			m.handleFailure(now)
		}
	case Written:
		m.handleWritten(now, in)
	case Conflict:
		m.handleConflict(now, in)
	case Resign:
		return m.resign(now)
	}
	return nil
}

func (m *Machine) tick(now time.Duration) []Output {
	if m.callInFlight != noCall {
		if now-m.callSentAt < m.settings.CallTimeout {
			return nil
		}
		m.handleFailure(now)
	}
	if m.resigned || now < m.nextCallAt {
		return nil
	}
	if m.held && !m.unresolved() {
		return m.sendWrite(now, m.version)
	}
	return m.sendRead(now)
}

// unresolved reports whether the last write may or may not have been applied.
func (m *Machine) unresolved() bool { return m.version == 0 }

func (m *Machine) sendRead(now time.Duration) []Output {
	m.startCall(now, readCall)
	return []Output{Read{Call: m.callNumber}}
}

// sendWrite requests a write of a new record over the object of version ifVersion.
func (m *Machine) sendWrite(now time.Duration, ifVersion uint64) []Output {
	m.nonce++
	m.sentAt = now
	m.startCall(now, writeCall)
	record := Record{Holder: m.settings.Holder, Nonce: m.nonce, Duration: m.settings.Duration, Released: m.resigning}
	return []Output{Write{Call: m.callNumber, Record: record, IfVersion: ifVersion}}
}

func (m *Machine) startCall(now time.Duration, kind callKind) {
	m.callInFlight, m.callSentAt = kind, now
	m.callNumber++
	m.nextCallAt = now + m.settings.RenewInterval
}

// handleRead decides from the lease object whether to acquire or renew the lease.
func (m *Machine) handleRead(now time.Duration, answer ReadAnswer) []Output {
	if m.callInFlight != readCall || answer.Call != m.callNumber {
		return nil
	}
	m.callInFlight = noCall
	switch {
	case !answer.Found:
		m.held = false
		return m.sendWriteUnlessResigning(now, 0)
	case answer.Record.Holder == m.settings.Holder && answer.Record.Nonce <= m.nonce:
		return m.handleOwnRecord(now, answer)
	case answer.Record.Released:
		return m.sendWriteUnlessResigning(now, answer.Version)
	}
	m.held = false
	if answer.Version != m.seenVersion {
		m.seenVersion, m.seenSince = answer.Version, now
		return nil
	}
	if now-m.seenSince < answer.Record.Duration+m.settings.MaxClockDrift {
		return nil
	}
	return m.sendWriteUnlessResigning(now, answer.Version)
}

// handleOwnRecord handles a record that this candidate wrote. No other candidate
// has written since, so the lease may be renewed whatever the record's age.
func (m *Machine) handleOwnRecord(now time.Duration, answer ReadAnswer) []Output {
	if answer.Record.Released && m.resigning {
		m.resigned, m.held = true, false
		return nil
	}
	return m.sendWrite(now, answer.Version)
}

func (m *Machine) sendWriteUnlessResigning(now time.Duration, ifVersion uint64) []Output {
	if m.resigning {
		m.resigned = true
		return nil
	}
	return m.sendWrite(now, ifVersion)
}

// handleFailure handles a call without an answer. After a failed write the version is
// unknown until a read; the last confirmed renewal stays valid.
func (m *Machine) handleFailure(now time.Duration) {
	if m.callInFlight == writeCall {
		m.version = 0
		m.nextCallAt = now
	}
	m.callInFlight = noCall
}

func (m *Machine) handleWritten(now time.Duration, answer Written) {
	if m.callInFlight != writeCall || answer.Call != m.callNumber {
		return
	}
	m.callInFlight = noCall
	if m.resigning {
		m.resigned, m.held = true, false
		return
	}
	m.held = true
	m.version = answer.Version
	m.validUntil = m.sentAt + m.settings.Duration
	m.nextCallAt = now + m.settings.RenewInterval
}

// handleConflict handles a conflict: another candidate has written the record.
func (m *Machine) handleConflict(now time.Duration, answer Conflict) {
	if m.callInFlight != writeCall || answer.Call != m.callNumber {
		return
	}
	m.callInFlight = noCall
	m.held, m.version = false, 0
	m.nextCallAt = now
	m.resigned = m.resigning
}

func (m *Machine) resign(now time.Duration) []Output {
	m.resigning = true
	if !m.held {
		m.resigned = true
		return nil
	}
	if m.callInFlight != noCall {
		m.nextCallAt = now
		return nil
	}
	if m.unresolved() {
		return m.sendRead(now)
	}
	return m.sendWrite(now, m.version)
}

// Resigned reports whether a resignation is complete.
func (m *Machine) Resigned() bool { return m.resigned }
