package placement

import "time"

// Reinstate ends the avoidance of a server whose failures were those of the links of this instance. A
// server that refuses requests still does.
func (l *Ledger) Reinstate(id, dataCentre string) {
	if server := l.servers[id]; server != nil {
		server.failures, server.avoidUntil = 0, time.Time{}
	}
	if centre := l.centres[dataCentre]; centre != nil {
		delete(centre.lastFailures, id)
	}
}
