package lease

import "time"

// callKind tells which call is outstanding.
type callKind uint8

const (
	callNone callKind = iota
	callRead
	callWrite
)

// Machine is the state of one candidate. It belongs to one goroutine.
type Machine struct {
	settings Settings

	// held is true from a written record until a conflict or a resignation;
	// validity also needs validUntil.
	held       bool
	version    uint64
	validUntil time.Duration

	// nonce is the last one sent, at sentAt.
	nonce  uint64
	sentAt time.Duration
	// resigning means that the next write releases the lease.
	resigning bool
	resigned  bool

	// seenVersion is another holder's version, first seen at seenAt.
	seenVersion uint64
	seenAt      time.Duration

	call    callKind
	callAt  time.Duration
	number  uint64
	nextDue time.Duration
}

// New returns a candidate that holds nothing.
func New(settings Settings) *Machine {
	return &Machine{settings: settings}
}

// Held returns the fencing number when the lease is valid at the time.
func (m *Machine) Held(now time.Duration) (fencing uint64, valid bool) {
	if !m.held || m.resigning || now >= m.validUntil {
		return 0, false
	}
	return m.version, true
}

// Step takes one input at the local monotonic time and returns the calls to
// make.
func (m *Machine) Step(now time.Duration, input Input) []Output {
	switch in := input.(type) {
	case Tick:
		return m.tick(now)
	case ReadAnswer:
		return m.read(now, in)
	case CallFailed:
		if in.Call == m.number {
			m.failed(now)
		}
	case Written:
		m.written(now, in)
	case Conflict:
		m.lost(now, in)
	case Resign:
		return m.resign(now)
	}
	return nil
}

func (m *Machine) tick(now time.Duration) []Output {
	if m.call != callNone {
		if now-m.callAt < m.settings.CallTimeout {
			return nil
		}
		m.failed(now)
	}
	if m.resigned || now < m.nextDue {
		return nil
	}
	if m.held && !m.unresolved() {
		return m.write(now, m.version)
	}
	return m.readNow(now)
}

// unresolved reports whether the last write may or may not have been applied.
func (m *Machine) unresolved() bool { return m.version == 0 }

func (m *Machine) readNow(now time.Duration) []Output {
	m.begin(now, callRead)
	return []Output{Read{Call: m.number}}
}

// write sends a record under a condition.
func (m *Machine) write(now time.Duration, ifVersion uint64) []Output {
	m.nonce++
	m.sentAt = now
	m.begin(now, callWrite)
	record := Record{Holder: m.settings.Holder, Nonce: m.nonce, Duration: m.settings.Duration, Released: m.resigning}
	return []Output{Write{Call: m.number, Record: record, IfVersion: ifVersion}}
}

func (m *Machine) begin(now time.Duration, kind callKind) {
	m.call, m.callAt = kind, now
	m.number++
	m.nextDue = now + m.settings.RenewInterval
}

// read decides from the lease object whether to take or renew it.
func (m *Machine) read(now time.Duration, answer ReadAnswer) []Output {
	if m.call != callRead || answer.Call != m.number {
		return nil
	}
	m.call = callNone
	switch {
	case !answer.Found:
		m.held = false
		return m.writeUnlessResigning(now, 0)
	case answer.Record.Holder == m.settings.Holder && answer.Record.Nonce <= m.nonce:
		return m.own(now, answer)
	case answer.Record.Released:
		return m.writeUnlessResigning(now, answer.Version)
	}
	m.held = false
	if answer.Version != m.seenVersion {
		m.seenVersion, m.seenAt = answer.Version, now
		return nil
	}
	if now-m.seenAt < answer.Record.Duration+m.settings.MaxClockDrift {
		return nil
	}
	return m.writeUnlessResigning(now, answer.Version)
}

// own takes up a record that this candidate wrote: nobody came after it, so it
// may be renewed whatever its age.
func (m *Machine) own(now time.Duration, answer ReadAnswer) []Output {
	if answer.Record.Released && m.resigning {
		m.resigned, m.held = true, false
		return nil
	}
	return m.write(now, answer.Version)
}

func (m *Machine) writeUnlessResigning(now time.Duration, ifVersion uint64) []Output {
	if m.resigning {
		m.resigned = true
		return nil
	}
	return m.write(now, ifVersion)
}

// failed handles a call without an answer. After a lost write the version is
// unknown until a read; the validity of the last known renewal goes on.
func (m *Machine) failed(now time.Duration) {
	if m.call == callWrite {
		m.version = 0
		m.nextDue = now
	}
	m.call = callNone
}

func (m *Machine) written(now time.Duration, answer Written) {
	if m.call != callWrite || answer.Call != m.number {
		return
	}
	m.call = callNone
	if m.resigning {
		m.resigned, m.held = true, false
		return
	}
	m.held = true
	m.version = answer.Version
	m.validUntil = m.sentAt + m.settings.Duration
	m.nextDue = now + m.settings.RenewInterval
}

// lost handles a conflict: another candidate wrote first.
func (m *Machine) lost(now time.Duration, answer Conflict) {
	if m.call != callWrite || answer.Call != m.number {
		return
	}
	m.call = callNone
	m.held, m.version = false, 0
	m.nextDue = now
	m.resigned = m.resigning
}

func (m *Machine) resign(now time.Duration) []Output {
	m.resigning = true
	if !m.held {
		m.resigned = true
		return nil
	}
	if m.call != callNone {
		m.nextDue = now
		return nil
	}
	if m.unresolved() {
		return m.readNow(now)
	}
	return m.write(now, m.version)
}

// Resigned reports whether a resignation is complete.
func (m *Machine) Resigned() bool { return m.resigned }
