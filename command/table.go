package command

// Column is one column of a table.
type Column struct {
	Name string `json:"name"`
	// Unit is the unit of the column's numbers, empty when they have none.
	Unit string `json:"unit,omitempty"`
}

// Row is one row of a table, a cell for each column.
type Row []Cell

// Table is the tabular result of a query or a change.
type Table struct {
	Columns []Column `json:"columns"`
	Rows    []Row    `json:"rows"`
}

func (t *Table) column(name string) (int, bool) {
	for i, column := range t.Columns {
		if column.Name == name {
			return i, true
		}
	}
	return 0, false
}

func (t *Table) columnNames() []string {
	names := make([]string, len(t.Columns))
	for i, column := range t.Columns {
		names[i] = column.Name
	}
	return names
}

func columns(names ...string) []Column {
	list := make([]Column, len(names))
	for i, name := range names {
		list[i].Name = name
	}
	return list
}

// columnWithUnit returns a column whose numbers have a unit.
func columnWithUnit(name, unit string) Column { return Column{Name: name, Unit: unit} }
