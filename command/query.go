package command

import (
	"slices"
	"strings"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Query answers show, explain, diff and help. The files hold the content of the
// file that diff names.
func Query(command *Command, source Source, files Files) (Result, error) {
	switch {
	case command.Help != nil:
		return help(command)
	case source.Configuration == nil:
		return Result{}, fault.New(fault.ConfigurationUnset, "the instance holds no configuration yet")
	case command.Show != nil:
		return show(command.Show, source)
	case command.Explain != nil:
		return explain(command.Explain, source)
	case command.Diff != nil:
		return diffFile(command.Diff, source, files)
	default:
		return Result{}, fault.New(fault.CommandInvalid, "the command is not a query")
	}
}

// NeedsStatus reports whether the result depends on the state of the instances.
func (c *Command) NeedsStatus() bool {
	if c.Show == nil {
		return c.Explain != nil
	}
	kind, known := lookupKind(c.Show.Kind.String())
	return known && (kind.runtime || kind.name == "backend-servers")
}

// NeedsHistory reports whether the result depends on the applied commands.
func (c *Command) NeedsHistory() bool {
	return (c.Show != nil && c.Show.Kind.String() == "revisions") || (c.Explain != nil && c.Explain.Kind == "revision")
}

func show(query *Show, source Source) (Result, error) {
	kind, known := lookupKind(query.Kind.String())
	if !known {
		return Result{}, errorAt(fault.CommandSyntax, query.Kind.Pos, "unexpected \""+query.Kind.String()+"\"; expected one of "+kindNames())
	}
	table := &Table{Columns: kind.columns, Rows: kind.rows(source)}
	for _, condition := range query.Where {
		if err := filter(table, condition); err != nil {
			return Result{}, err
		}
	}
	if err := sortRows(table, query.Sort); err != nil {
		return Result{}, err
	}
	if query.Limit != nil {
		limit, err := query.Limit.parse(0, 1<<32)
		if err != nil {
			return Result{}, err
		}
		table.Rows = table.Rows[:min(uint64(len(table.Rows)), limit)]
	}
	return Result{Table: table, Missing: source.Status.Missing}, nil
}

func unknownColumn(table *Table, name string) string {
	return "unexpected \"" + name + "\"; expected a column: " + strings.Join(table.columnNames(), ", ")
}

func filter(table *Table, condition *Condition) error {
	index, known := table.column(condition.Column)
	if !known {
		return errorAt(fault.CommandSyntax, condition.Pos, unknownColumn(table, condition.Column))
	}
	want := parseCell(unquote(condition.Value))
	table.Rows = slices.DeleteFunc(table.Rows, func(row Row) bool {
		return !matches(row[index], condition.Operator, want)
	})
	return nil
}

// matches reports whether a cell meets a condition. Text and lists are compared
// as text; a list equals a value when one of its items does.
func matches(cell Cell, operator string, want Cell) bool {
	if !cell.numeric {
		want = textCell(want.text)
	}
	order := cell.compare(want)
	equal := order == 0 || (!cell.numeric && slices.Contains(strings.Split(cell.text, ","), want.text))
	switch operator {
	case "=":
		return equal
	case "!=":
		return !equal
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	case ">=":
		return order >= 0
	default:
		return strings.Contains(cell.String(), want.text)
	}
}

func sortRows(table *Table, by *Sort) error {
	if by == nil {
		return nil
	}
	index, known := table.column(by.Column)
	if !known {
		return errorAt(fault.CommandSyntax, by.Pos, unknownColumn(table, by.Column))
	}
	slices.SortStableFunc(table.Rows, func(a, b Row) int {
		order := a[index].compare(b[index])
		if by.Descending {
			return -order
		}
		return order
	})
	return nil
}
