package estate

import "slices"

// GenerationService returns the service of the given name if it offers the model,
// or the first service that offers it when the name is empty.
func (c *Configuration) GenerationService(name, model string) (Service, bool) {
	for _, service := range c.Services {
		if service.Kind != ServiceGeneration || (name != "" && service.Name != name) {
			continue
		}
		if slices.Contains(service.Models, model) {
			return service, true
		}
	}
	return Service{}, false
}

// Operation returns a call service and one of its operations, both by name.
func (c *Configuration) Operation(service, operation string) (Service, Operation, bool) {
	for _, candidate := range c.Services {
		if candidate.Kind != ServiceCall || candidate.Name != service {
			continue
		}
		for _, candidateOperation := range candidate.Operations {
			if candidateOperation.Name == operation {
				return candidate, candidateOperation, true
			}
		}
	}
	return Service{}, Operation{}, false
}

// Model returns a model by name.
func (c *Configuration) Model(name string) (Model, bool) {
	for _, model := range c.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}

// DrainsInstance reports whether an entry instance, or its data centre, is
// drained.
func (c *Configuration) DrainsInstance(instance, dataCentre string) bool {
	return slices.ContainsFunc(c.Drains, func(drain Drain) bool {
		return drain == Drain{DrainInstance, instance} || drain == Drain{DrainDataCentre, dataCentre}
	})
}

// Region returns the region of a data centre, "" when it is unknown.
func (c *Configuration) Region(dataCentre string) string {
	for _, centre := range c.DataCentres {
		if centre.Name == dataCentre {
			return centre.Region
		}
	}
	return ""
}
