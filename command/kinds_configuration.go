package command

import (
	"slices"

	"github.com/wisteriahaven/wisteriahaven/estate"
)

// configurationKinds are the kinds whose rows come from the configuration.
var configurationKinds = []kind{
	{name: "regions", meaning: "groups of data centres with fast links", columns: columns("name", "data_centres", "backend_servers"), rows: regionRows},
	{name: "data-centres", meaning: "sites with entry instances and backend servers of their own", columns: columns("name", "region", "backend_servers", "drained"), rows: dataCentreRows},
	{name: "backend-servers", meaning: "model engines and servers of plain services", columns: backendServerColumns, rows: backendServerRows},
	{name: "models", meaning: "models with their versions", columns: columns("name", "versions", "default_version", "backend_servers"), rows: modelRows},
	{name: "versions", meaning: "declared versions of models", columns: columns("model", "version", "default", "backend_servers"), rows: versionRows},
	{name: "services", meaning: "services offered to client accounts", columns: append(columns("name", "kind", "models", "operations", "objective"), columnWithUnit("deadline", "s")), rows: serviceRows},
	{name: "firms", meaning: "companies that share the estate", columns: columns("name", "home_region", "client_accounts", "max_client_accounts"), rows: firmRows},
	{name: "client-accounts", meaning: "authenticated users of the estate", columns: clientAccountColumns, rows: clientAccountRows},
	{name: "rules", meaning: "which client accounts may be served where", columns: columns("name", "firms", "client_accounts", "services", "models", "versions", "regions", "data_centres"), rows: ruleRows},
	{name: "drains", meaning: "objects that take no new work", columns: columns("kind", "name"), rows: drainRows},
	{name: "shifts", meaning: "load sent from one region to another", columns: []Column{{Name: "model"}, {Name: "from"}, {Name: "to"}, columnWithUnit("percent", "%")}, rows: shiftRows},
	{name: "revisions", meaning: "the latest changes of the configuration", columns: columns("revision", "command_id", "operator", "command", "time"), rows: revisionRows},
}

var backendServerColumns = []Column{
	{Name: "name"}, {Name: "service"}, {Name: "model"}, {Name: "version"}, {Name: "data_centre"}, {Name: "region"},
	{Name: "address"}, columnWithUnit("slots", "requests"), columnWithUnit("in_flight", "requests"), {Name: "state"}, {Name: "drained"},
}

var clientAccountColumns = []Column{
	{Name: "name"}, {Name: "firm"}, {Name: "weight"}, {Name: "priority"},
	columnWithUnit("requests_per_second", "requests/s"), columnWithUnit("requests_in_flight", "requests"),
	columnWithUnit("tokens_per_second", "tokens/s"), columnWithUnit("tokens_in_flight", "tokens"), {Name: "keys"},
}

func regionRows(source Source) []Row {
	configuration := source.Configuration
	return rowsOf(configuration.Regions, func(region estate.Region) Row {
		var centres []string
		for _, centre := range configuration.DataCentres {
			if centre.Region == region.Name {
				centres = append(centres, centre.Name)
			}
		}
		servers := countServers(configuration, func(s estate.BackendServer) bool { return slices.Contains(centres, s.DataCentre) })
		return Row{textCell(region.Name), listCell(centres), numberCell(servers)}
	})
}

func countServers(configuration *estate.Configuration, match func(estate.BackendServer) bool) int {
	count := 0
	for _, server := range configuration.BackendServers {
		if match(server) {
			count++
		}
	}
	return count
}

func dataCentreRows(source Source) []Row {
	configuration := source.Configuration
	return rowsOf(configuration.DataCentres, func(centre estate.DataCentre) Row {
		servers := countServers(configuration, func(s estate.BackendServer) bool { return s.DataCentre == centre.Name })
		drained := slices.Contains(configuration.Drains, estate.Drain{Kind: estate.DrainDataCentre, Name: centre.Name})
		return Row{textCell(centre.Name), textCell(centre.Region), numberCell(servers), boolCell(drained)}
	})
}

func backendServerRows(source Source) []Row {
	configuration := source.Configuration
	regions := make(map[string]string)
	for _, centre := range configuration.DataCentres {
		regions[centre.Name] = centre.Region
	}
	drained := make(map[estate.Drain]bool)
	for _, drain := range configuration.Drains {
		drained[drain] = true
	}
	observed := aggregateServers(source.Status)
	servers := sortedByName(configuration.BackendServers, func(s estate.BackendServer) string { return s.Name })
	return rowsOf(servers, func(server estate.BackendServer) Row {
		isDrained := drained[estate.Drain{Kind: estate.DrainBackendServer, Name: server.Name}] || drained[estate.Drain{Kind: estate.DrainDataCentre, Name: server.DataCentre}]
		return Row{
			textCell(server.Name), textCell(server.Service), textCell(server.Model), textCell(server.Version),
			textCell(server.DataCentre), textCell(regions[server.DataCentre]), textCell(server.Address),
			numberCell(server.Slots), numberCell(observed[server.Name].inFlight), textCell(observed[server.Name].state), boolCell(isDrained),
		}
	})
}

func modelRows(source Source) []Row {
	return rowsOf(source.Configuration.Models, func(model estate.Model) Row {
		servers := countServers(source.Configuration, func(s estate.BackendServer) bool { return s.Model == model.Name })
		return Row{textCell(model.Name), listCell(model.Versions), textCell(model.DefaultVersion), numberCell(servers)}
	})
}

func versionRows(source Source) []Row {
	var rows []Row
	for _, model := range source.Configuration.Models {
		for _, version := range model.Versions {
			servers := countServers(source.Configuration, func(s estate.BackendServer) bool {
				return s.Model == model.Name && s.Version == version
			})
			rows = append(rows, Row{textCell(model.Name), textCell(version), boolCell(version == model.DefaultVersion), numberCell(servers)})
		}
	}
	return rows
}

func serviceRows(source Source) []Row {
	return rowsOf(source.Configuration.Services, func(service estate.Service) Row {
		var operations []string
		for _, operation := range service.Operations {
			operations = append(operations, operation.Name)
		}
		return Row{
			textCell(service.Name), textCell(string(service.Kind)), listCell(service.Models), listCell(operations),
			textCell(string(service.Recovery.Objective)), secondsCell(service.Deadline.Std()),
		}
	})
}

func firmRows(source Source) []Row {
	accounts := make(map[string]int)
	for _, account := range source.Configuration.ClientAccounts {
		accounts[account.Firm]++
	}
	return rowsOf(source.Configuration.Firms, func(firm estate.Firm) Row {
		return Row{textCell(firm.Name), textCell(firm.HomeRegion), numberCell(accounts[firm.Name]), numberCell(firm.MaxClientAccounts)}
	})
}

func clientAccountRows(source Source) []Row {
	accounts := sortedByName(source.Configuration.ClientAccounts, func(a estate.ClientAccount) string { return a.Name })
	return rowsOf(accounts, func(account estate.ClientAccount) Row {
		limits := account.Limits
		return Row{
			textCell(account.Name), textCell(account.Firm), numberCell(account.Weight), numberCell(account.Priority),
			numberCell(limits.RequestsPerSecond), numberCell(limits.RequestsInFlight),
			numberCell(limits.TokensPerSecond), numberCell(limits.TokensInFlight), numberCell(len(account.KeyHashes)),
		}
	})
}

func ruleRows(source Source) []Row {
	return rowsOf(source.Configuration.Rules, func(rule estate.Rule) Row {
		return Row{
			textCell(rule.Name), listOrAny(rule.Firms), listOrAny(rule.ClientAccounts), listOrAny(rule.Services),
			listOrAny(rule.Models), listOrAny(rule.Versions), listOrAny(rule.Regions), listOrAny(rule.DataCentres),
		}
	})
}

// listOrAny returns the cell of a rule's list; an empty list matches everything
// and is shown as estate.Any.
func listOrAny(items []string) Cell {
	if len(items) == 0 {
		return textCell(estate.Any)
	}
	return listCell(items)
}

func drainRows(source Source) []Row {
	return rowsOf(source.Configuration.Drains, func(drain estate.Drain) Row {
		return Row{textCell(drain.Kind), textCell(drain.Name)}
	})
}

func shiftRows(source Source) []Row {
	return rowsOf(source.Configuration.Shifts, func(shift estate.Shift) Row {
		return Row{textCell(shift.Model), textCell(shift.From), textCell(shift.To), numberCell(shift.Percent)}
	})
}
