package estate

import "slices"

func (v *validator) models() {
	seen := make(nameSet)
	for i, model := range v.Models {
		path := elementPath("models", i)
		v.name(path, model.Name, seen)
		if len(model.Versions) == 0 {
			v.problems.Add(path+".versions", "missing: at least one version")
		}
		versions := make(nameSet)
		for j, version := range model.Versions {
			if !ValidName(version) {
				v.problems.Add(elementPath(path+".versions", j), "\""+version+"\" is not a name")
			}
			if versions[version] {
				v.problems.Add(elementPath(path+".versions", j), "\""+version+"\" is declared twice")
			}
			versions[version] = true
		}
		v.reference(path+".default_version", "version of the model", model.DefaultVersion, versions[model.DefaultVersion])
	}
}

func (v *validator) services() {
	seen := make(nameSet)
	for i, service := range v.Services {
		path := elementPath("services", i)
		v.name(path, service.Name, seen)
		if service.Deadline <= 0 {
			v.problems.Add(path+".deadline", "missing: a duration with its unit, such as \"30s\"")
		}
		switch service.Kind {
		case ServiceGeneration:
			v.generationService(path, service)
		case ServiceCall:
			v.callService(path, service)
		default:
			v.problems.Add(path+".kind", "must be generation or call; found \""+string(service.Kind)+"\"")
		}
	}
}

func (v *validator) generationService(path string, service Service) {
	if len(service.Models) == 0 {
		v.problems.Add(path+".models", "missing: at least one model")
	}
	if len(service.Operations) > 0 {
		v.problems.Add(path+".operations", "a generation service has no operations")
	}
	seen := make(nameSet)
	for i, name := range service.Models {
		_, declared := v.names.models[name]
		v.reference(elementPath(path+".models", i), "model", name, declared)
		if seen[name] {
			v.problems.Add(elementPath(path+".models", i), "\""+name+"\" is listed twice")
		}
		seen[name] = true
	}
	switch service.Recovery.Objective {
	case ObjectiveLatency, ObjectiveCost:
	default:
		v.problems.Add(path+".recovery.objective", "must be latency or cost; found \""+string(service.Recovery.Objective)+"\"")
	}
}

func (v *validator) callService(path string, service Service) {
	if len(service.Operations) == 0 {
		v.problems.Add(path+".operations", "missing: at least one operation")
	}
	if len(service.Models) > 0 {
		v.problems.Add(path+".models", "a call service has no models")
	}
	seen := make(nameSet)
	for i, operation := range service.Operations {
		operationPath := elementPath(path+".operations", i)
		v.name(operationPath, operation.Name, seen)
		switch {
		case !operation.Idempotent && operation.ClaimRetention <= 0:
			v.problems.Add(operationPath+".claim_retention", "missing: how long a key is remembered, such as \"24h\"")
		case operation.Idempotent && operation.ClaimRetention > 0:
			v.problems.Add(operationPath+".claim_retention", "an idempotent operation claims no keys")
		}
	}
}

func (v *validator) backendServers() {
	seen := make(nameSet)
	addresses := make(map[string]string)
	for i, server := range v.BackendServers {
		path := elementPath("backend_servers", i)
		v.name(path, server.Name, seen)
		v.reference(path+".data_centre", "data centre", server.DataCentre, v.names.dataCentres[server.DataCentre])
		v.atLeast(path+".slots", server.Slots, 1)
		v.address(path+".address", server, addresses)
		service, declared := v.names.services[server.Service]
		v.reference(path+".service", "service", server.Service, declared)
		if declared && service.Kind == ServiceGeneration {
			v.engine(path, server, service)
		}
		if declared && service.Kind == ServiceCall && (server.Model != "" || server.Version != "") {
			v.problems.Add(path+".model", "a server of a call service has no model")
		}
	}
}

func (v *validator) engine(path string, server BackendServer, service Service) {
	if server.Spare {
		if server.Model != "" || server.Version != "" {
			v.problems.Add(path+".model", "a spare server has no model of its own")
		}
		return
	}
	model, declared := v.names.models[server.Model]
	v.reference(path+".model", "model", server.Model, declared)
	if !declared {
		return
	}
	if !slices.Contains(service.Models, server.Model) {
		v.problems.Add(path+".model", "the service \""+service.Name+"\" does not offer the model \""+server.Model+"\"")
	}
	v.reference(path+".version", "version of the model", server.Version, slices.Contains(model.Versions, server.Version))
}
