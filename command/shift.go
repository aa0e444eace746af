package command

import (
	"slices"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

const maxPercent = 100

func shift(command *Shift, next *estate.Configuration) error {
	percent, err := command.Percent.parse(0, maxPercent)
	if err != nil {
		return err
	}
	if err := checkShift(command, next); err != nil {
		return err
	}
	declared := estate.Shift{Model: command.Model.String(), From: command.From.String(), To: command.To.String(), Percent: int(percent)}
	next.Shifts = slices.DeleteFunc(next.Shifts, func(s estate.Shift) bool {
		return s.Model == declared.Model && s.From == declared.From && s.To == declared.To
	})
	if percent > 0 {
		next.Shifts = append(next.Shifts, declared)
	}
	return nil
}

func checkShift(command *Shift, next *estate.Configuration) error {
	if !slices.ContainsFunc(next.Models, func(m estate.Model) bool { return m.Name == command.Model.String() }) {
		return errorAt(fault.CommandInvalid, command.Model.Pos, "no model is named \""+command.Model.String()+"\"")
	}
	for _, name := range []Name{command.From, command.To} {
		if !slices.ContainsFunc(next.Regions, func(r estate.Region) bool { return r.Name == name.String() }) {
			return errorAt(fault.CommandInvalid, name.Pos, "no region is named \""+name.String()+"\"")
		}
	}
	return nil
}
