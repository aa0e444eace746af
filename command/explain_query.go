package command

import (
	"slices"
	"strconv"
	"strings"

	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// explanation collects the rows that answer explain.
type explanation struct {
	rows []Row
}

func (e *explanation) add(time Cell, instance, kind, server, reason string) {
	e.rows = append(e.rows, Row{time, textCell(instance), textCell(kind), textCell(server), textCell(reason)})
}

func explain(query *Explain, source Source) (Result, error) {
	answer := &explanation{}
	var err error
	switch query.Kind {
	case "revision":
		err = answer.revision(query.ID, source)
	case "client-account":
		err = answer.clientAccount(query.ID, source.Configuration)
	case "backend-server":
		err = answer.backendServer(query.ID, source)
	}
	if err != nil {
		return Result{}, err
	}
	answer.decisions(query.ID.String(), source.Status)
	if len(answer.rows) == 0 {
		return Result{}, errorAt(fault.NotFound, query.ID.Pos, "no instance that answered has a recorded decision about \""+query.ID.String()+"\"")
	}
	table := &Table{Columns: columns("time", "instance", "kind", "server", "reason"), Rows: answer.rows}
	return Result{Table: table, Missing: source.Status.Missing}, nil
}

// decisions adds the recorded decisions of every instance in order of time.
func (e *explanation) decisions(subject string, status dump.Estate) {
	first := len(e.rows)
	for _, instance := range status.Instances {
		for _, decision := range instance.Decisions {
			if decision.Subject == subject || decision.Server == subject {
				e.add(timeCell(decision.Time), instance.Instance, decision.Kind, decision.Server, decision.Reason)
			}
		}
	}
	slices.SortStableFunc(e.rows[first:], func(a, b Row) int { return strings.Compare(a[0].text, b[0].text) })
}

// clientAccount adds the declaration of a client account and its rules.
func (e *explanation) clientAccount(id Name, configuration *estate.Configuration) error {
	name := id.String()
	index := slices.IndexFunc(configuration.ClientAccounts, func(a estate.ClientAccount) bool { return a.Name == name })
	if index < 0 {
		return errorAt(fault.CommandInvalid, id.Pos, "no client account is named \""+name+"\"")
	}
	account := configuration.ClientAccounts[index]
	limits := account.Limits
	e.add(Cell{}, "", "declared", "", "firm "+account.Firm+", weight "+strconv.Itoa(account.Weight)+
		", limits "+strconv.Itoa(limits.RequestsPerSecond)+" requests/s, "+strconv.Itoa(limits.RequestsInFlight)+" requests in flight, "+
		strconv.Itoa(limits.TokensPerSecond)+" tokens/s, "+strconv.Itoa(limits.TokensInFlight)+" tokens in flight (0 is no limit)")
	for _, rule := range configuration.Rules {
		if listMatches(rule.Firms, account.Firm) && listMatches(rule.ClientAccounts, account.Name) {
			e.add(Cell{}, "", "rule", "", "rule "+rule.Name+" allows services "+listOrAny(rule.Services).text+", models "+listOrAny(rule.Models).text+
				", regions "+listOrAny(rule.Regions).text+", data centres "+listOrAny(rule.DataCentres).text)
		}
	}
	return nil
}

// listMatches reports whether a rule's list matches a name; an empty list
// matches every name.
func listMatches(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, estate.Any) || slices.Contains(names, name)
}

// backendServer adds the declaration of a backend server, its drains, and its
// state as each instance observes it.
func (e *explanation) backendServer(id Name, source Source) error {
	name := id.String()
	index := slices.IndexFunc(source.Configuration.BackendServers, func(s estate.BackendServer) bool { return s.Name == name })
	if index < 0 {
		return errorAt(fault.CommandInvalid, id.Pos, "no backend server is named \""+name+"\"")
	}
	server := source.Configuration.BackendServers[index]
	declared := "service " + server.Service + " in data centre " + server.DataCentre
	if server.Model != "" {
		declared += ", model " + server.Model + " version " + server.Version
	}
	e.add(Cell{}, "", "declared", name, declared)
	for _, drain := range source.Configuration.Drains {
		if drain.Name == name || drain.Name == server.DataCentre {
			e.add(Cell{}, "", "drained", name, "the "+drain.Kind+" "+drain.Name+" is drained")
		}
	}
	for _, instance := range source.Status.Instances {
		for _, view := range instance.Servers {
			if view.Name == name {
				e.add(timeCell(instance.Time), instance.Instance, "observed", name, observedText(view))
			}
		}
	}
	return nil
}

func observedText(view dump.BackendServer) string {
	text := "state " + view.State + ", " + strconv.Itoa(view.InFlight) + " own requests in flight, reported load " + strconv.Itoa(view.Reported)
	if view.Breaker != "" {
		text += ", circuit breaker " + view.Breaker
	}
	return text
}

// revision adds the command and operator that created a revision, and on which
// instances it is in force.
func (e *explanation) revision(id Name, source Source) error {
	number, err := (Number{Pos: id.Pos, Text: id.String()}).parse(1, 1<<63)
	if err != nil {
		return err
	}
	for _, applied := range source.History {
		if applied.Revision == number {
			e.add(timeCell(applied.Time), "", "applied", "", "command "+applied.ID+" of operator "+applied.Operator+": "+applied.Text)
		}
	}
	for _, instance := range source.Status.Instances {
		state := "not yet in force: revision " + strconv.FormatUint(instance.Revision, 10) + " is"
		if instance.Revision >= number {
			state = "in force, with revision " + strconv.FormatUint(instance.Revision, 10)
		}
		e.add(timeCell(instance.Time), instance.Instance, "in-force", "", state)
	}
	return nil
}
