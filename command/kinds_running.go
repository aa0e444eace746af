package command

import (
	"github.com/wisteriahaven/wisteriahaven/dump"
)

// runningKinds come from the states of the instances.
var runningKinds = []kind{
	{name: "instances", meaning: "entry instances", running: true, columns: columns("name", "data_centre", "region", "state", "revision", "members", "generations", "calls"), rows: instanceRows},
	{name: "generations", meaning: "generations in progress", running: true, columns: append(columns("request_id", "instance", "client_account", "service", "model", "version", "server", "attempt"), measured("tokens", "tokens")), rows: generationRows},
	{name: "calls", meaning: "calls in progress", running: true, columns: columns("request_id", "instance", "client_account", "service", "operation", "server", "state"), rows: callRows},
	{name: "leases", meaning: "rights to give orders", running: true, columns: columns("name", "holder", "fencing", "instance"), rows: leaseRows},
	{name: "local-marks", meaning: "drains of one data centre that are not persisted", running: true, columns: columns("kind", "name", "undrain", "data_centre", "operator", "command_id", "expires", "persisted"), rows: localMarkRows},
	{name: "quarantines", meaning: "requests that ended the servers that ran them", running: true, columns: columns("fingerprint", "deaths", "reason", "instance"), rows: quarantineRows},
}

// serverView is a backend server over all instances.
type serverView struct {
	state    string
	inFlight int
}

func observeServers(status dump.Estate) map[string]serverView {
	views := make(map[string]serverView)
	for _, instance := range status.Instances {
		for _, server := range instance.Servers {
			view := views[server.Name]
			view.inFlight += server.InFlight
			if view.state == "" || server.State != dump.ServerUp {
				view.state = server.State
			}
			views[server.Name] = view
		}
	}
	return views
}

func instanceRows(source Source) []Row {
	rows := rowsOf(source.Status.Instances, func(instance dump.Instance) Row {
		return Row{
			textCell(instance.Instance), textCell(instance.DataCentre), textCell(instance.Region), textCell(instanceState(instance)),
			numberCell(instance.Revision), numberCell(len(instance.Members)), numberCell(len(instance.Generations)), numberCell(len(instance.Calls)),
		}
	})
	for _, missing := range source.Status.Missing {
		rows = append(rows, Row{textCell(missing.Instance), textCell(missing.DataCentre), {}, textCell("no-answer"), {}, {}, {}, {}})
	}
	return rows
}

func instanceState(instance dump.Instance) string {
	switch {
	case instance.Stopping:
		return "stopping"
	case instance.Drained:
		return "drained"
	case instance.Ready:
		return "ready"
	default:
		return "not-ready"
	}
}

func generationRows(source Source) []Row {
	var rows []Row
	for _, instance := range source.Status.Instances {
		for _, generation := range instance.Generations {
			rows = append(rows, Row{
				textCell(generation.RequestID), textCell(instance.Instance), textCell(generation.ClientAccount), textCell(generation.Service),
				textCell(generation.Model), textCell(generation.Version), textCell(generation.Server), numberCell(generation.Attempt), numberCell(generation.Tokens),
			})
		}
	}
	return rows
}

func callRows(source Source) []Row {
	var rows []Row
	for _, instance := range source.Status.Instances {
		for _, call := range instance.Calls {
			rows = append(rows, Row{
				textCell(call.RequestID), textCell(instance.Instance), textCell(call.ClientAccount), textCell(call.Service),
				textCell(call.Operation), textCell(call.Server), textCell(call.State),
			})
		}
	}
	return rows
}

func leaseRows(source Source) []Row {
	var rows []Row
	for _, instance := range source.Status.Instances {
		for _, lease := range instance.Leases {
			rows = append(rows, Row{textCell(lease.Name), textCell(lease.Holder), numberCell(lease.FencingToken), textCell(instance.Instance)})
		}
	}
	return rows
}

func localMarkRows(source Source) []Row {
	var rows []Row
	seen := make(map[string]bool)
	for _, instance := range source.Status.Instances {
		for _, mark := range instance.LocalDrains {
			key := instance.DataCentre + "\x00" + mark.CommandID
			if seen[key] {
				continue
			}
			seen[key] = true
			rows = append(rows, Row{
				textCell(mark.Drain.Kind), textCell(mark.Drain.Name), boolCell(mark.Undrain), textCell(instance.DataCentre),
				textCell(mark.Operator), textCell(mark.CommandID), timeCell(mark.Expires), boolCell(mark.Persisted),
			})
		}
	}
	return rows
}

func quarantineRows(source Source) []Row {
	var rows []Row
	for _, instance := range source.Status.Instances {
		for _, quarantine := range instance.Quarantines {
			rows = append(rows, Row{textCell(quarantine.Fingerprint), numberCell(quarantine.FailedServers), textCell(quarantine.Reason), textCell(instance.Instance)})
		}
	}
	return rows
}

func revisionRows(source Source) []Row {
	var rows []Row
	for _, applied := range source.History {
		rows = append(rows, Row{
			numberCell(applied.Revision), textCell(applied.ID), textCell(applied.Operator), textCell(applied.Text), timeCell(applied.Time),
		})
	}
	return rows
}
