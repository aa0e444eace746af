package estate

func (v *validator) places() {
	seen := make(nameSet)
	for i, region := range v.Regions {
		v.name(elementPath("regions", i), region.Name, seen)
	}
	seen = make(nameSet)
	for i, centre := range v.DataCentres {
		path := elementPath("data_centres", i)
		v.name(path, centre.Name, seen)
		v.reference(path+".region", "region", centre.Region, v.names.regions[centre.Region])
	}
}

func (v *validator) drains() {
	seen := make(map[Drain]bool)
	for i, drain := range v.Drains {
		path := elementPath("drains", i)
		switch drain.Kind {
		case DrainBackendServer:
			v.reference(path+".name", "backend server", drain.Name, v.names.backendServers[drain.Name])
		case DrainDataCentre:
			v.reference(path+".name", "data centre", drain.Name, v.names.dataCentres[drain.Name])
		case DrainInstance:
			v.reference(path+".name", "instance", drain.Name, true)
		default:
			v.problems.Add(path+".kind", "must be backend-server, instance or data-centre; found \""+drain.Kind+"\"")
		}
		if seen[drain] {
			v.problems.Add(path, "the "+drain.Kind+" \""+drain.Name+"\" is drained twice")
		}
		seen[drain] = true
	}
}
