package estate

import (
	"net/netip"
	"strconv"
)

// maxPercent is the upper bound of the sum of the shifts from a region.
const maxPercent = 100

func (v *validator) rules() {
	seen := make(nameSet)
	services := make(nameSet)
	for name := range v.names.services {
		services[name] = true
	}
	models := make(nameSet)
	for name := range v.names.models {
		models[name] = true
	}
	for i, rule := range v.Rules {
		path := elementPath("rules", i)
		v.name(path, rule.Name, seen)
		v.references(path+".firms", "firm", rule.Firms, v.names.firms)
		v.references(path+".client_accounts", "client account", rule.ClientAccounts, v.names.clientAccounts)
		v.references(path+".services", "service", rule.Services, services)
		v.references(path+".models", "model", rule.Models, models)
		v.references(path+".versions", "version", rule.Versions, v.names.versions)
		v.references(path+".regions", "region", rule.Regions, v.names.regions)
		v.references(path+".data_centres", "data centre", rule.DataCentres, v.names.dataCentres)
	}
}

// references checks that each name in a rule's list is declared or Any.
func (v *validator) references(path, kind string, names []string, declared nameSet) {
	for i, name := range names {
		v.reference(elementPath(path, i), kind, name, name == Any || declared[name])
	}
}

func (v *validator) shifts() {
	type route struct{ model, from, to string }
	type origin struct{ model, from string }
	seen := make(map[route]bool)
	totals := make(map[origin]int)
	for i, shift := range v.Shifts {
		path := elementPath("shifts", i)
		_, declared := v.names.models[shift.Model]
		v.reference(path+".model", "model", shift.Model, declared)
		v.reference(path+".from", "region", shift.From, v.names.regions[shift.From])
		v.reference(path+".to", "region", shift.To, v.names.regions[shift.To])
		v.atLeast(path+".percent", shift.Percent, 1)
		if shift.From == shift.To {
			v.problems.Add(path+".to", "must differ from the region the load comes from")
		}
		key := route{shift.Model, shift.From, shift.To}
		if seen[key] {
			v.problems.Add(path, "the same shift is declared twice")
		}
		seen[key] = true
		total := origin{shift.Model, shift.From}
		totals[total] += shift.Percent
		if totals[total] > maxPercent {
			v.problems.Add(path+".percent", "the shifts from region \""+shift.From+"\" add up to "+strconv.Itoa(totals[total])+" percent")
		}
	}
}

// address checks that a backend server's address is "ip:port" and not in use by
// another server.
func (v *validator) address(path string, server BackendServer, taken map[string]string) {
	if _, err := netip.ParseAddrPort(server.Address); err != nil {
		v.problems.Add(path, "must be an IP number and a port, such as 127.0.0.1:9000; found \""+server.Address+"\"")
		return
	}
	if owner, found := taken[server.Address]; found {
		v.problems.Add(path, "the address belongs to backend server \""+owner+"\" already")
	}
	taken[server.Address] = server.Name
}
