package ctl

import (
	"fmt"
	"io"
	"strings"
	"unicode/utf8"

	"github.com/wisteriahaven/wisteriahaven/command"
)

// columnGap separates two columns.
const columnGap = "  "

// writeTable writes aligned columns, numeric ones to the right and others to the
// left, and the number of rows.
func writeTable(out io.Writer, table *command.Table) {
	header := make([]string, len(table.Columns))
	widths := make([]int, len(table.Columns))
	numeric := make([]bool, len(table.Columns))
	for i, column := range table.Columns {
		header[i] = column.Name
		if column.Unit != "" {
			header[i] += " (" + column.Unit + ")"
		}
		widths[i] = utf8.RuneCountInString(header[i])
		for _, row := range table.Rows {
			widths[i] = max(widths[i], utf8.RuneCountInString(row[i].String()))
			numeric[i] = numeric[i] || row[i].IsNumber()
		}
	}
	writeLine(out, header, widths, numeric)
	for _, row := range table.Rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = cell.String()
		}
		writeLine(out, cells, widths, numeric)
	}
	_, _ = fmt.Fprintf(out, "(%d)\n", len(table.Rows))
}

func writeLine(out io.Writer, cells []string, widths []int, numeric []bool) {
	padded := make([]string, len(cells))
	for i, cell := range cells {
		space := strings.Repeat(" ", widths[i]-utf8.RuneCountInString(cell))
		if numeric[i] {
			padded[i] = space + cell
		} else {
			padded[i] = cell + space
		}
	}
	_, _ = fmt.Fprintln(out, strings.TrimRight(strings.Join(padded, columnGap), " "))
}
