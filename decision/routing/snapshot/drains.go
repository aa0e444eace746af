package snapshot

import "github.com/wisteriahaven/wisteriahaven/estate"

// Kinds of drains that affect backend servers.
const (
	drainServer     = "backend-server"
	drainDataCentre = "data-centre"
)

// drains holds the names of drained objects by kind.
type drains struct {
	servers     map[string]bool
	dataCentres map[string]bool
}

func drainedNames(configuration *estate.Configuration) drains {
	found := drains{servers: make(map[string]bool), dataCentres: make(map[string]bool)}
	for _, drain := range configuration.Drains {
		switch drain.Kind {
		case drainServer:
			found.servers[drain.Name] = true
		case drainDataCentre:
			found.dataCentres[drain.Name] = true
		}
	}
	return found
}
