package command

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"
)

// Cell is one value of a table: a number, or text.
type Cell struct {
	text    string
	number  float64
	numeric bool
}

func textCell(text string) Cell { return Cell{text: text} }

func listCell(items []string) Cell { return Cell{text: strings.Join(items, ",")} }

func boolCell(value bool) Cell { return Cell{text: strconv.FormatBool(value)} }

func numberCell[N int | uint64 | float64](value N) Cell {
	return Cell{number: float64(value), numeric: true}
}

func secondsCell(duration time.Duration) Cell { return numberCell(duration.Seconds()) }

// timeLayout has a fixed width, so that its texts sort in order of time.
const timeLayout = "2006-01-02T15:04:05.000000Z"

func timeCell(at time.Time) Cell {
	if at.IsZero() {
		return Cell{}
	}
	return textCell(at.UTC().Format(timeLayout))
}

// IsNumber reports whether the cell is a number, which tables align right.
func (c Cell) IsNumber() bool { return c.numeric }

// String formats the cell for a table.
func (c Cell) String() string {
	if c.numeric {
		return strconv.FormatFloat(c.number, 'f', -1, 64)
	}
	return c.text
}

// MarshalJSON encodes the cell as a number or a string.
func (c Cell) MarshalJSON() ([]byte, error) {
	if c.numeric {
		return json.Marshal(c.number)
	}
	return json.Marshal(c.text)
}

// UnmarshalJSON decodes a number or a string.
func (c *Cell) UnmarshalJSON(data []byte) error {
	*c = Cell{}
	if len(data) > 0 && data[0] == '"' {
		return json.Unmarshal(data, &c.text)
	}
	c.numeric = true
	return json.Unmarshal(data, &c.number)
}

// parseCell parses the value of a condition: a number, a duration (converted to
// seconds), or text. The cell keeps the text, so that a name that consists of
// digits can be compared as text.
func parseCell(text string) Cell {
	if number, err := strconv.ParseFloat(text, 64); err == nil {
		return Cell{text: text, number: number, numeric: true}
	}
	if duration, err := time.ParseDuration(text); err == nil {
		return Cell{text: text, number: duration.Seconds(), numeric: true}
	}
	return textCell(text)
}

// compare orders two cells: numbers before text, numbers by value.
func (c Cell) compare(other Cell) int {
	switch {
	case c.numeric && other.numeric && c.number < other.number:
		return -1
	case c.numeric && other.numeric && c.number > other.number:
		return 1
	case c.numeric && other.numeric:
		return 0
	case c.numeric != other.numeric && c.numeric:
		return -1
	case c.numeric != other.numeric:
		return 1
	default:
		return strings.Compare(c.text, other.text)
	}
}
