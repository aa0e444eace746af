package snapshot

import "github.com/wisteriahaven/wisteriahaven/estate"

// The kinds of drain that concern backend servers.
const (
	drainServer     = "backend-server"
	drainDataCentre = "data-centre"
)

// drains holds the drained names by kind.
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
