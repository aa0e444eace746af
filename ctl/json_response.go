package ctl

import (
	"bytes"
	"encoding/json"

	"github.com/wisteriahaven/wisteriahaven/command"
	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/operatorapi"
)

// jsonResponse is a response whose rows are encoded as JSON objects.
type jsonResponse struct {
	operatorapi.Response
	Result jsonResult `json:"result,omitzero"`
}

// jsonResult is a result whose rows are encoded as JSON objects.
type jsonResult struct {
	Columns []command.Column `json:"columns,omitempty"`
	Rows    []jsonRow        `json:"rows,omitzero"`
	Text    string           `json:"text,omitempty"`
	Missing []dump.Missing   `json:"missing,omitempty"`
}

// jsonRow is a row, encoded as an object whose fields are the columns in order.
type jsonRow struct {
	columns []command.Column
	cells   command.Row
}

func newJSONResponse(response operatorapi.Response) jsonResponse {
	result := jsonResult{Text: response.Result.Text, Missing: response.Result.Missing}
	if table := response.Result.Table; table != nil {
		result.Columns = table.Columns
		result.Rows = make([]jsonRow, len(table.Rows))
		for i, row := range table.Rows {
			result.Rows[i] = jsonRow{table.Columns, row}
		}
	}
	return jsonResponse{response, result}
}

// MarshalJSON encodes the row as an object.
func (r jsonRow) MarshalJSON() ([]byte, error) {
	var text bytes.Buffer
	text.WriteByte('{')
	for i, column := range r.columns {
		if i > 0 {
			text.WriteByte(',')
		}
		name, err := json.Marshal(column.Name)
		if err != nil {
			return nil, err
		}
		cell, err := json.Marshal(r.cells[i])
		if err != nil {
			return nil, err
		}
		text.Write(name)
		text.WriteByte(':')
		text.Write(cell)
	}
	text.WriteByte('}')
	return text.Bytes(), nil
}
