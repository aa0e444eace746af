package command

import (
	"slices"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

func drain(command *Drain, next *estate.Configuration) error {
	object := command.Object()
	if err := checkDrain(command, next); err != nil {
		return err
	}
	index := slices.Index(next.Drains, object)
	switch {
	case command.Undrains() && index >= 0:
		next.Drains = slices.Delete(next.Drains, index, index+1)
	case !command.Undrains() && index < 0:
		next.Drains = append(next.Drains, object)
	}
	return nil
}

// Object returns the drain that the command adds or lifts.
func (d *Drain) Object() estate.Drain {
	return estate.Drain{Kind: d.Kind, Name: d.Name.String()}
}

// Undrains reports whether the command lifts a drain.
func (d *Drain) Undrains() bool { return d.Verb == "undrain" }

// Check returns CommandInvalid when the configuration does not declare the
// object. Names of instances are not checked: the configuration does not
// declare instances.
func (d *Drain) Check(configuration *estate.Configuration) error {
	return checkDrain(d, configuration)
}

func checkDrain(command *Drain, configuration *estate.Configuration) error {
	name := command.Name.String()
	declared := true
	switch command.Kind {
	case estate.DrainBackendServer:
		declared = slices.ContainsFunc(configuration.BackendServers, func(s estate.BackendServer) bool { return s.Name == name })
	case estate.DrainDataCentre:
		declared = slices.ContainsFunc(configuration.DataCentres, func(d estate.DataCentre) bool { return d.Name == name })
	}
	if !declared {
		return errorAt(fault.CommandInvalid, command.Name.Pos, "no "+command.Kind+" is named \""+name+"\"")
	}
	return nil
}
